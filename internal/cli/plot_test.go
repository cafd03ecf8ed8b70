package cli

import (
	"bytes"
	"context"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/standin/fixture"
	"rhubarbwood.example/rhubarbwood/internal/standin/objectstore"
)

func TestPlot(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", freePort)
	is.NoErr(err)
	cfg := objectstore.DefaultConfig()
	cfg.Seeds = fixture.Demo(fixture.Options{Address: func(string) string { return "127.0.0.1:9" }}).Seeds()
	server := objectstore.NewServer(objectstore.New(cfg))
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Shutdown(context.Background()) })
	file := writeFile(t, strings.Replace(goodHost, "127.0.0.1:9", ln.Addr().String(), 1))

	for format, head := range map[string]string{"svg": "<?xml", "png": "\x89PNG"} {
		out := filepath.Join(t.TempDir(), "burn."+format)
		r := run("", "plot", "--settings", file, "--format", format, "--out", out)
		is.Equal(r.err, "")
		is.Equal(r.code, ExitOK)
		plot, err := os.ReadFile(out)
		is.NoErr(err)
		is.True(bytes.HasPrefix(plot, []byte(head)))
	}

	r := run("", "plot", "--settings", writeFile(t, goodHost), "--out", filepath.Join(t.TempDir(), "x"))
	is.Equal(r.code, ExitFailed) // the platform is unreachable
	is.True(strings.Contains(r.err, "connection refused"))
}
