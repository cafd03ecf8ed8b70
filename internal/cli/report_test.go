package cli

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/gatewayhost"
	"rhubarbwood.example/rhubarbwood/internal/standin"
	"rhubarbwood.example/rhubarbwood/internal/standin/objectstore"
	"rhubarbwood.example/rhubarbwood/internal/standin/platformtarget"
	"rhubarbwood.example/rhubarbwood/internal/unit"
	"rhubarbwood.example/rhubarbwood/platform"
)

const gatewaySettings = `{
	"host": "a", "failure_domain": "salt-lake",
	"addresses": {"callers": "127.0.0.1:0", "readiness": "127.0.0.1:0", "metrics": "127.0.0.1:0", "peers": "127.0.0.1:0"},
	"platform": {"addresses": ["STORE"]},
}`

// A gateway host forwards requests and stops. The report must count each of
// them and state that nothing is missing, although the store sends no Date
// header to take the time from.
func TestReportOfForwardedRequests(t *testing.T) {
	is := is.New(t)
	cfg := objectstore.DefaultConfig()
	cfg.NoClock = true
	store := objectstore.New(cfg)
	ln, err := net.Listen("tcp", freePort)
	is.NoErr(err)
	server := objectstore.NewServer(store)
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Shutdown(context.Background()) })
	site, err := platformtarget.StartSite(store, []string{"salt-lake"}, standin.Latency{Mean: unit.Duration(time.Millisecond)})
	is.NoErr(err)
	t.Cleanup(func() { _ = site.Stop(context.Background()) })
	address := ln.Addr().String()
	file := writeFile(t, strings.Replace(gatewaySettings, "STORE", address, 1))

	forwardRequests(t, address, 3)

	r := run("", "report", "--settings", file, "show answers by service, outcome")
	is.Equal(r.err, "")
	is.Equal(r.code, ExitOK)
	is.True(strings.Contains(r.out, "nothing is missing"))
	rows := fieldsByFirst(r.out)
	is.Equal(rows["lists"][:3], []string{"lists", "done", "3"})
	is.Equal(rows["gifts"][:3], []string{"gifts", "done", "3"})

	r = run("", "report", "--settings", file, "show burn")
	is.Equal(r.code, ExitOK)
	is.True(strings.Contains(r.out, "lists"))
	r = run("", "report", "--settings", file, "show coverage")
	is.Equal(r.code, ExitOK)

	r = run("", "report", "--settings", file, "show services")
	is.Equal(r.code, ExitFailed)
	is.True(strings.Contains(r.err, "not a report"))
	r = run("", "report", "--settings", file, "show nonsense")
	is.Equal(r.code, ExitUsage)
}

// forwardRequests sends n requests of each kind through a new gateway host and
// stops the host.
func forwardRequests(t *testing.T, store string, n int) {
	t.Helper()
	is := is.New(t)
	gs := gatewayhost.DefaultSettings()
	gs.ID, gs.FailureDomain = "a", "salt-lake"
	gs.Addresses = gatewayhost.Addresses{Callers: freePort, Readiness: freePort, Metrics: freePort, Peers: freePort}
	gs.Platform.Addresses = []string{store}
	gs.Stop.BalancerLag = 0
	h, err := gatewayhost.New(gs, gatewayhost.UserPlatform(), event.Discard())
	is.NoErr(err)
	is.NoErr(h.Start(t.Context()))
	is.NoErr(h.WaitReady(t.Context()))
	for range n {
		for _, path := range []string{platformtarget.SiteQueryPath, platformtarget.SiteSinglePath} {
			req, err := http.NewRequest(http.MethodGet, "http://"+h.Addresses().Callers+path+"x", nil)
			is.NoErr(err)
			req.Host = platformtarget.SiteHost
			req.Header.Set(platform.HeaderRequestID, "r")
			resp, err := http.DefaultClient.Do(req)
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusOK)
			is.NoErr(resp.Body.Close())
		}
	}
	is.NoErr(h.Stop(context.Background()))
}

// fieldsByFirst returns the fields of each line, keyed by the first field.
func fieldsByFirst(text string) map[string][]string {
	lines := map[string][]string{}
	for line := range strings.Lines(text) {
		if f := strings.Fields(line); len(f) > 0 {
			lines[f[0]] = f
		}
	}
	return lines
}
