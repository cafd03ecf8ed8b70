package host

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	plog "github.com/phuslu/log"

	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/standin/fixture"
	"rhubarbwood.example/rhubarbwood/internal/standin/objectstore"
	"rhubarbwood.example/rhubarbwood/internal/standin/target"
	"rhubarbwood.example/rhubarbwood/internal/targetapi"
	"rhubarbwood.example/rhubarbwood/internal/unit"
)

// bench is one host before targets that hold every shard request until the
// test lets go.
type bench struct {
	host    *Host
	log     *bytes.Buffer // read only after the host has stopped
	arrived chan struct{} // one for each shard request
	letGo   func()
}

func newBench(t *testing.T, hardLimit time.Duration) *bench {
	t.Helper()
	is := is.New(t)
	release := make(chan struct{})
	b := &bench{log: &bytes.Buffer{}, arrived: make(chan struct{}, 100), letGo: sync.OnceFunc(func() { close(release) })}
	t.Cleanup(b.letGo)

	addresses := map[string]string{}
	for _, c := range fixture.Demo(fixture.Options{Address: func(string) string { return "" }}).Targets {
		inner := target.New(c).Handler()
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == targetapi.PathShard {
				b.arrived <- struct{}{}
				<-release
			}
			inner.ServeHTTP(w, r)
		}))
		t.Cleanup(func() { b.letGo(); server.Close() })
		addresses[c.ID] = server.Listener.Addr().String()
	}
	cfg := objectstore.DefaultConfig()
	cfg.Seeds = fixture.Demo(fixture.Options{Address: func(id string) string { return addresses[id] }}).Seeds()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	store := objectstore.NewServer(objectstore.New(cfg))
	go func() { _ = store.Serve(ln) }()
	t.Cleanup(func() { _ = store.Shutdown(context.Background()) })

	s := loadOnFreePorts(t)
	s.Platform.Addresses = []string{ln.Addr().String()}
	s.Stop.BalancerLag = 0
	s.Stop.HardLimit = unit.Duration(hardLimit)
	b.host, err = New(s, event.New(b.log, plog.InfoLevel, s.ID))
	is.NoErr(err)
	is.NoErr(b.host.Start(t.Context()))
	is.NoErr(b.host.WaitReady(t.Context()))
	return b
}

// search asks for all shards and returns what came of it.
func (b *bench) search() <-chan string {
	done := make(chan string, 1)
	go func() {
		body := strings.NewReader(`{"workload": "guest-portal"}`)
		req, err := http.NewRequest(http.MethodPost, "http://"+b.host.Addresses().Callers+"/v1/search", body)
		if err != nil {
			done <- err.Error()
			return
		}
		req.Header.Set("X-Budget-Ms", "30000") // no budget ends while the test holds the targets
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			done <- err.Error()
			return
		}
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		if err != nil {
			done <- err.Error()
			return
		}
		done <- resp.Status + " " + string(text)
	}()
	return done
}

func TestStopLetsRequestsInFlightEnd(t *testing.T) {
	is := is.New(t)
	b := newBench(t, time.Minute)
	answer := b.search()
	<-b.arrived
	stopped := make(chan error, 1)
	go func() { stopped <- b.host.Stop(context.Background()) }()
	for !b.host.Leaving() {
		time.Sleep(time.Millisecond) // nothing is judged by it
	}
	is.True(b.host.Ready() != nil) // the balancer is told
	b.letGo()
	got := <-answer
	is.True(strings.HasPrefix(got, "200 "))
	is.True(strings.Contains(got, `"complete":true`))
	is.NoErr(<-stopped)
	is.True(strings.Contains(b.log.String(), `"name":"host_stopped"`))
}

// While the balancer has not noticed, it still sends callers.
func TestLeavingHostServesCallers(t *testing.T) {
	is := is.New(t)
	b := newBench(t, time.Minute)
	b.letGo()
	b.host.leave(t.Context())
	is.True(b.host.Ready() != nil)
	is.Equal(b.host.parts.members.Self().State, member.Leaving)
	is.True(strings.HasPrefix(<-b.search(), "200 "))
	is.NoErr(b.host.Stop(context.Background()))
}

func TestHardLimitCutsAndSaysWhat(t *testing.T) {
	is := is.New(t)
	b := newBench(t, 100*time.Millisecond)
	answer := b.search()
	<-b.arrived
	err := b.host.Stop(context.Background())
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "were cut off"))
	is.True(strings.Contains(b.log.String(), `"name":"host_cut"`))
	is.True(!strings.HasPrefix(<-answer, "200 "))
}
