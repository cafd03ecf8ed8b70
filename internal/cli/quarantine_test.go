package cli

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/objstore"
	"rhubarbwood.example/rhubarbwood/internal/quarantine"
	"rhubarbwood.example/rhubarbwood/internal/standin/objectstore"
	"rhubarbwood.example/rhubarbwood/platform"
)

// serveStore runs a stand-in for the store until the test ends.
func serveStore(t *testing.T) (store *objectstore.Store, address string) {
	t.Helper()
	store = objectstore.New(objectstore.DefaultConfig())
	ln, err := net.Listen("tcp", freePort)
	if err != nil {
		t.Fatal(err)
	}
	server := objectstore.NewServer(store)
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Shutdown(context.Background()) })
	return store, ln.Addr().String()
}

// An operator lists the quarantined requests and clears one.
func TestQuarantineIsListedAndCleared(t *testing.T) {
	is := is.New(t)
	_, address := serveStore(t)
	file := writeFile(t, strings.Replace(gatewaySettings, "STORE", address, 1))

	request := quarantine.NewRequest("10.0.0.1", "GET", "lists.example", "/lists/x", nil)
	record := quarantine.Record{Key: request.OfCaller}
	for i := range uint64(3) {
		record.Strikes = append(record.Strikes, quarantine.Strike{ID: i, Services: []string{"lists-1", "lists-2"}, At: time.Now()})
	}
	records := platform.NewObjects(time.Second, address)
	defer records.Close()
	is.NoErr(quarantine.Put(t.Context(), objstore.New(records), 0, record))

	r := run("", "quarantine", "--settings", file)
	is.Equal(r.code, ExitOK)
	row := fieldsByFirst(r.out)[request.Content()]
	is.Equal(row[:4], []string{request.Content(), "one", "3", "lists-1,lists-2"})

	r = run("", "quarantine", "--settings", file, "--clear", "0123")
	is.Equal(r.code, ExitFailed)
	is.True(strings.Contains(r.err, `"0123"`))
	r = run("", "quarantine", "--settings", file, "--clear", request.Content())
	is.Equal(r.code, ExitOK)
	r = run("", "quarantine", "--settings", file)
	is.Equal(r.code, ExitOK)
	is.True(!strings.Contains(r.out, request.Content()))
}
