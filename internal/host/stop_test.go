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

// testHost is a host whose targets block every shard request until the test calls
// releaseTargets.
type testHost struct {
	host           *Host
	log            *bytes.Buffer // read only after the host has stopped
	shardRequests  chan struct{} // receives a value for each shard request
	releaseTargets func()
}

func newTestHost(t *testing.T, hardLimit time.Duration) *testHost {
	t.Helper()
	is := is.New(t)
	release := make(chan struct{})
	h := &testHost{log: &bytes.Buffer{}, shardRequests: make(chan struct{}, 100), releaseTargets: sync.OnceFunc(func() { close(release) })}
	t.Cleanup(h.releaseTargets)

	addresses := map[string]string{}
	for _, c := range fixture.Demo(fixture.Options{Address: func(string) string { return "" }}).Targets {
		inner := target.New(c).Handler()
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == targetapi.PathShard {
				h.shardRequests <- struct{}{}
				<-release
			}
			inner.ServeHTTP(w, r)
		}))
		t.Cleanup(func() { h.releaseTargets(); server.Close() })
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
	h.host, err = New(s, event.New(h.log, plog.InfoLevel, s.ID))
	is.NoErr(err)
	is.NoErr(h.host.Start(t.Context()))
	is.NoErr(h.host.WaitReady(t.Context()))
	return h
}

// search sends a search of all shards in the background. The channel receives the
// status line and body of the response, or the error text.
func (h *testHost) search() <-chan string {
	done := make(chan string, 1)
	go func() {
		body := strings.NewReader(`{"workload": "guest-portal"}`)
		req, err := http.NewRequest(http.MethodPost, "http://"+h.host.Addresses().Callers+"/v1/search", body)
		if err != nil {
			done <- err.Error()
			return
		}
		req.Header.Set("X-Budget-Ms", "30000") // long enough not to expire while the targets are blocked
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
	h := newTestHost(t, time.Minute)
	answer := h.search()
	<-h.shardRequests
	stopped := make(chan error, 1)
	go func() { stopped <- h.host.Stop(context.Background()) }()
	for !h.host.Leaving() {
		time.Sleep(time.Millisecond) // polling interval only; no check depends on it
	}
	is.True(h.host.Ready() != nil) // the load balancer stops sending
	h.releaseTargets()
	got := <-answer
	is.True(strings.HasPrefix(got, "200 "))
	is.True(strings.Contains(got, `"complete":true`))
	is.NoErr(<-stopped)
	is.True(strings.Contains(h.log.String(), `"name":"host_stopped"`))
}

// A leaving host must serve callers, since the load balancer sends them until it
// has noticed that readiness fails.
func TestLeavingHostServesCallers(t *testing.T) {
	is := is.New(t)
	h := newTestHost(t, time.Minute)
	h.releaseTargets()
	h.host.leave(t.Context())
	is.True(h.host.Ready() != nil)
	is.Equal(h.host.modules.members.Self().State, member.Leaving)
	is.True(strings.HasPrefix(<-h.search(), "200 "))
	is.NoErr(h.host.Stop(context.Background()))
}

func TestHardLimitCutsAndSaysWhat(t *testing.T) {
	is := is.New(t)
	h := newTestHost(t, 100*time.Millisecond)
	answer := h.search()
	<-h.shardRequests
	err := h.host.Stop(context.Background())
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "were cut off"))
	is.True(strings.Contains(h.log.String(), `"name":"host_cut"`))
	is.True(!strings.HasPrefix(<-answer, "200 "))
}
