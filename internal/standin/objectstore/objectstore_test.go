package objectstore

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/platform"
	"rhubarbwood.example/rhubarbwood/internal/standin"
	"rhubarbwood.example/rhubarbwood/internal/unit"
)

const testHost = "platform.test"

type client struct{ http http.Client }

func newClient(s *Store) *client {
	var tr standin.Transport
	tr.Handle(testHost, s.Handler())
	return &client{http.Client{Transport: &tr}}
}

// do makes one call and decodes its answer into out, unless that is nil. It
// returns 0 if there was no answer.
func (c *client) do(ctx context.Context, method, path, ifVersion, body string, out any) int {
	r, _ := http.NewRequestWithContext(ctx, method, "http://"+testHost+path, strings.NewReader(body))
	if ifVersion != "" {
		r.Header.Set(platform.HeaderIfVersion, ifVersion)
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if resp.Header.Get(platform.HeaderTime) == "" && strings.HasPrefix(path, "/v1/") {
		return -1
	}
	if out != nil && json.NewDecoder(resp.Body).Decode(out) != nil {
		return -2
	}
	return resp.StatusCode
}

func (c *client) put(ctx context.Context, name string, version int, value string, out any) int {
	return c.do(ctx, "PUT", "/v1/objects/claim/"+name, strconv.Itoa(version), value, out)
}

func TestConditionalWrites(t *testing.T) {
	is := is.New(t)
	c := newClient(New(DefaultConfig()))
	var o platform.Object
	is.Equal(c.put(t.Context(), "a", 0, `{"n":1}`, &o), http.StatusOK)
	is.Equal(o.Version, uint64(1))
	is.Equal(c.put(t.Context(), "a", 0, `{"n":2}`, &o), http.StatusConflict)
	is.Equal(string(o.Value), `{"n":1}`) // the object that stands
	is.Equal(c.put(t.Context(), "a", 1, `{"n":2}`, &o), http.StatusOK)
	is.Equal(o.Version, uint64(2))
	is.Equal(c.do(t.Context(), "DELETE", "/v1/objects/claim/a", "1", "", nil), http.StatusConflict)
	is.Equal(c.do(t.Context(), "DELETE", "/v1/objects/claim/a", "2", "", nil), http.StatusOK)
	is.Equal(c.do(t.Context(), "GET", "/v1/objects/claim/a", "", "", nil), http.StatusNotFound)
	is.Equal(c.put(t.Context(), "a", 2, `{}`, &o), http.StatusConflict)
	is.Equal(o.Name, "a")
	var absent platform.Object
	is.Equal(c.put(t.Context(), "b", 3, `{}`, &absent), http.StatusConflict)
	is.Equal(absent.Version, uint64(0))
}

func TestBadCalls(t *testing.T) {
	is := is.New(t)
	c := newClient(New(DefaultConfig()))
	largest := `"` + strings.Repeat("x", platform.MaxValue-2) + `"`
	is.Equal(c.put(t.Context(), "a", 0, largest, nil), http.StatusOK)
	is.Equal(c.put(t.Context(), "b", 0, largest+" ", nil), http.StatusRequestEntityTooLarge)
	is.Equal(c.put(t.Context(), "b", 0, `{`, nil), http.StatusBadRequest)
	is.Equal(c.do(t.Context(), "PUT", "/v1/objects/claim/b", "", `{}`, nil), http.StatusBadRequest)
	is.Equal(c.do(t.Context(), "GET", "/v1/watch?kind=claim", "", "", nil), http.StatusBadRequest)
}

func TestVersionsStartAnewAfterRemoval(t *testing.T) {
	is := is.New(t)
	s := New(DefaultConfig())
	first := s.Apply(platform.KindClaim, "a", json.RawMessage(`1`))
	is.True(s.Remove(platform.KindClaim, "a"))
	again := s.Apply(platform.KindClaim, "a", json.RawMessage(`2`))
	is.Equal(again.Version, first.Version)
	is.Equal(again.Revision, uint64(3))
}

func watchPath(after int, kinds string) string {
	return platform.PathWatch + "?wait_ms=60000&after=" + strconv.Itoa(after) + kinds
}

func TestWatchReturnsChangesOfItsKinds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := New(DefaultConfig())
		c := newClient(s)
		s.Apply(platform.KindService, "s", json.RawMessage(`1`))
		var l platform.Listing
		got := make(chan int, 1)
		go func() { got <- c.do(t.Context(), "GET", watchPath(1, "&kind=claim&kind=member"), "", "", &l) }()
		synctest.Wait()
		is.Equal(s.Counters().WaitingWatches, 1)
		s.Apply(platform.KindService, "s", json.RawMessage(`2`)) // another kind
		synctest.Wait()
		is.Equal(len(got), 0)
		s.Apply(platform.KindMember, "m", json.RawMessage(`3`))
		is.Equal(<-got, http.StatusOK)
		is.Equal(l.Revision, uint64(3))
		is.Equal(l.Objects[0].Name, "m")
		is.Equal(s.Counters().WaitingWatches, 0)
		is.Equal(s.Counters().Total(VerbWatch), uint64(1))
		s.Remove(platform.KindMember, "m")
		is.Equal(c.do(t.Context(), "GET", watchPath(3, "&kind=member"), "", "", &l), http.StatusOK)
		is.True(l.Objects[0].Deleted)
	})
}

func TestWatchEnds(t *testing.T) {
	tests := []struct {
		name string
		end  func(*Store)
		want int
	}{
		{"wait is over", func(*Store) { time.Sleep(time.Minute) }, http.StatusOK},
		{"outage", func(s *Store) { s.SetFaults(Faults{Outage: OutageUnavailable}) }, http.StatusServiceUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := New(DefaultConfig())
				got := make(chan int, 1)
				go func() { got <- newClient(s).do(t.Context(), "GET", watchPath(0, "&kind=claim"), "", "", nil) }()
				synctest.Wait()
				tt.end(s)
				is.Equal(<-got, tt.want)
			})
		})
	}
}

func TestWatchFromGoneRevision(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	cfg.History = 2
	s := New(cfg)
	c := newClient(s)
	for range 4 {
		s.Apply(platform.KindClaim, "a", json.RawMessage(`1`))
	}
	is.Equal(c.do(t.Context(), "GET", watchPath(1, "&kind=claim"), "", "", nil), http.StatusGone)
	is.Equal(c.do(t.Context(), "GET", watchPath(2, "&kind=claim"), "", "", nil), http.StatusOK)
	s.Compact()
	is.Equal(c.do(t.Context(), "GET", watchPath(3, "&kind=claim"), "", "", nil), http.StatusGone)
	is.Equal(c.do(t.Context(), "GET", watchPath(9, "&kind=claim"), "", "", nil), http.StatusGone) // never reached
}

func TestHostListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cfg := DefaultConfig()
		cfg.HostLag = unit.Duration(10 * time.Second)
		cfg.Seeds.Hosts = []platform.LiveHost{{ID: "a"}}
		s := New(cfg)
		c := newClient(s)
		is.Equal(c.do(t.Context(), "POST", PathHosts, "", `{"id":"a","leaving":true}`, nil), http.StatusNoContent)
		s.SetHost(platform.LiveHost{ID: "b"})
		is.Equal(s.Hosts(), []platform.LiveHost{{ID: "a"}})
		time.Sleep(10 * time.Second)
		is.Equal(s.Hosts(), []platform.LiveHost{{ID: "a", Leaving: true}, {ID: "b"}})
		s.RemoveHost("a")
		time.Sleep(10 * time.Second)
		s.SetHost(platform.LiveHost{ID: "b", Leaving: true})
		is.Equal(s.Hosts(), []platform.LiveHost{{ID: "b"}})
		is.Equal(len(s.hosts), 2) // b and its change: what is past is forgotten
	})
}

func TestSeedFile(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "seeds.json")
	is.NoErr(os.WriteFile(file, []byte(`{"objects":[{"kind":"service","name":"s","value":{"n":1}}]}`), 0o600))
	cfg := DefaultConfig()
	cfg.SeedFile = file
	cfg, err := cfg.Load()
	is.NoErr(err)
	is.Equal(New(cfg).Objects(platform.KindService)[0].Name, "s")
}

func TestShutdownEndsWaitingWatches(t *testing.T) {
	is := is.New(t)
	s := New(DefaultConfig())
	srv := NewServer(s)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	served := make(chan error, 1)
	go func() { served <- srv.Serve(ln) }()
	got := make(chan string, 1)
	go func() {
		resp, err := http.Get("http://" + ln.Addr().String() + watchPath(0, "&kind=claim"))
		if err == nil {
			got <- resp.Status
			return
		}
		got <- err.Error()
	}()
	for s.Counters().WaitingWatches == 0 {
		time.Sleep(time.Millisecond)
	}
	is.NoErr(srv.Shutdown(t.Context()))
	is.Equal(<-got, "200 OK")
	is.NoErr(<-served)
}
