package gatewayhost

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/rollout"
	"rhubarbwood.example/rhubarbwood/internal/settings"
	"rhubarbwood.example/rhubarbwood/internal/standin"
	"rhubarbwood.example/rhubarbwood/internal/standin/objectstore"
	"rhubarbwood.example/rhubarbwood/internal/standin/platformtarget"
	"rhubarbwood.example/rhubarbwood/internal/unit"
	"rhubarbwood.example/rhubarbwood/platform"
)

const freePort = "127.0.0.1:0"

var domains = []string{"salt-lake", "new-town"}

// site is an object store and targets on loopback.
type site struct {
	store   *objectstore.Store
	address string
}

func startSite(t *testing.T) *site {
	t.Helper()
	store := objectstore.New(objectstore.DefaultConfig())
	server := objectstore.NewServer(store)
	ln, err := net.Listen("tcp", freePort)
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(ln) }()
	targets, err := platformtarget.StartSite(store, domains, standin.Latency{Mean: unit.Duration(5 * time.Millisecond)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = targets.Stop(context.Background())
		_ = server.Shutdown(context.Background())
	})
	return &site{store: store, address: ln.Addr().String()}
}

// startHost starts a host of the site with the given seeds.
func (s *site) startHost(t *testing.T, id string, seeds ...string) *Host {
	t.Helper()
	gs := DefaultSettings()
	gs.ID, gs.FailureDomain = id, domains[0]
	gs.Addresses = Addresses{Callers: freePort, Readiness: freePort, Metrics: freePort, Peers: freePort}
	gs.Platform.Addresses = []string{s.address}
	gs.Member.Seeds = seeds
	gs.Stop.BalancerLag = unit.Duration(time.Second)
	h, err := New(gs, UserPlatform(), event.Discard())
	if err != nil {
		t.Fatal(err)
	}
	if err := h.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	return h
}

func (h *Host) stopForTest(t *testing.T) {
	t.Helper()
	if err := h.Stop(context.Background()); err != nil {
		t.Error(err)
	}
}

// sendRequest sends one request with the client.
func sendRequest(c *http.Client, address, path, id string) (status int, body string, err error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return 0, "", err
	}
	req.Host = platformtarget.SiteHost
	req.Header.Set(platform.HeaderRequestID, id)
	resp, err := c.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err
}

func getStatus(t *testing.T, address string) int {
	t.Helper()
	resp, err := http.Get("http://" + address)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

func TestHostServesConfigurationFromStore(t *testing.T) {
	is := is.New(t)
	s := startSite(t)
	h := s.startHost(t, "a")
	defer h.stopForTest(t)
	is.NoErr(h.WaitReady(t.Context()))
	a := h.Addresses()
	is.Equal(getStatus(t, a.Readiness+"/api/readyz"), http.StatusOK)
	is.Equal(getStatus(t, a.Metrics+"/metrics"), http.StatusOK)
	is.Equal(getStatus(t, a.Metrics+"/metrics/runtime"), http.StatusOK)
	for _, path := range []string{platformtarget.SiteQueryPath + "x", platformtarget.SiteSinglePath + "x"} {
		got, _, err := sendRequest(http.DefaultClient, a.Callers, path, "r1")
		is.NoErr(err)
		is.Equal(got, http.StatusOK)
	}
	got, _, err := sendRequest(http.DefaultClient, a.Callers, "/none", "r2")
	is.NoErr(err)
	is.Equal(got, http.StatusNotFound)
}

// A host that starts during a store outage gets its state from a peer.
func TestHostStartsByItsPeerWhileTheStoreIsAway(t *testing.T) {
	is := is.New(t)
	s := startSite(t)
	first := s.startHost(t, "a")
	defer first.stopForTest(t)
	is.NoErr(first.WaitReady(t.Context()))
	s.store.SetFaults(objectstore.Faults{Outage: objectstore.OutageUnavailable})
	second := s.startHost(t, "b", first.Addresses().Peers)
	defer second.stopForTest(t)
	is.NoErr(second.WaitReady(t.Context()))
	got, _, err := sendRequest(http.DefaultClient, second.Addresses().Callers, platformtarget.SiteQueryPath+"x", "r1")
	is.NoErr(err)
	is.Equal(got, http.StatusOK)
}

func TestHostWithoutConfigurationRefuses(t *testing.T) {
	is := is.New(t)
	s := startSite(t)
	s.store.SetFaults(objectstore.Faults{Outage: objectstore.OutageUnavailable})
	h := s.startHost(t, "a")
	defer h.stopForTest(t)
	got, _, err := sendRequest(http.DefaultClient, h.Addresses().Callers, platformtarget.SiteQueryPath+"x", "r1")
	is.NoErr(err)
	is.Equal(got, http.StatusServiceUnavailable)
	is.Equal(getStatus(t, h.Addresses().Readiness+"/api/readyz"), http.StatusServiceUnavailable)
	s.store.SetFaults(objectstore.Faults{})
	is.NoErr(h.WaitReady(t.Context()))
}

// A planned stop cuts off no request: callers that reuse their connections, and callers
// that open new ones until the load balancer notices the stop, all get responses.
func TestStopCutsOffNoRequest(t *testing.T) {
	is := is.New(t)
	s := startSite(t)
	h := s.startHost(t, "a")
	is.NoErr(h.WaitReady(t.Context()))
	address := h.Addresses().Callers
	var cut, served atomic.Int64
	leaving := make(chan struct{})
	var callers sync.WaitGroup
	for i := range 8 {
		callers.Go(func() {
			c := &http.Client{Transport: &http.Transport{DisableKeepAlives: i%2 == 1}}
			defer c.CloseIdleConnections()
			for n := 0; ; n++ {
				select {
				case <-leaving:
					return
				default:
				}
				got, body, err := sendRequest(c, address, platformtarget.SiteSinglePath+"x", strconv.Itoa(i)+"-"+strconv.Itoa(n))
				if err != nil || got != http.StatusOK {
					cut.Add(1)
					t.Logf("status %d: %v %s", got, err, body)
					continue
				}
				served.Add(1)
			}
		})
	}
	for served.Load() < 100 {
		time.Sleep(time.Millisecond)
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		h.stopForTest(t)
	}()
	<-h.lifecycle.Leaving()
	before := served.Load()
	for served.Load() < before+50 && cut.Load() == 0 { // requests are served during the stop
		time.Sleep(time.Millisecond)
	}
	close(leaving) // the load balancer has noticed
	callers.Wait()
	<-stopped
	is.Equal(cut.Load(), int64(0))
}

func TestReloadChangesOnlyTheLogLevel(t *testing.T) {
	is := is.New(t)
	s := startSite(t)
	h := s.startHost(t, "a")
	defer h.stopForTest(t)
	changed := h.settings
	changed.Log.Level = "debug"
	is.True(!h.needsRestart(changed))
	changed.FailureDomain = "elsewhere"
	is.True(h.needsRestart(changed))
	h.Reload(changed, nil)
	h.Reload(DefaultSettings(), Error.New("not JSON")) // has no effect
	is.NoErr(h.WaitReady(t.Context()))
}

// platformFields are the values that the platform fills into the template.
var platformFields = map[string]string{
	"nodeName|json": `"front-salt-lake-1"`, "zone|json": `"salt-lake"`, "ip": "10.1.0.39",
	"bindAddresses.front|json": `"10.1.0.39:8226"`, "bindAddresses.ready|json": `"10.1.0.39:8227"`,
	"bindAddresses.control|json": `"10.1.0.39:8224"`, "seedNodes|json": `["10.1.0.39:8224","10.2.0.33:8224"]`,
	"platform.address|json": `"10.200.1.7:8229"`, "bounds.graceS": "6", "bounds.configApplyMs": "5000",
	"bounds.retryBudgetRatio": "0.2", "bounds.budgetSlack": "182", "bounds.budgetWindowS": "10",
	"limits.bandwidthMbps": "140.0", "limits.memoryMb": "184", "heartbeatMs": "1500", "bounds.drainMs": "4000", "bounds.evacuationMs": "4500",
	"zones|json":           `{"salt-lake":"kolkata","new-town":"kolkata"}`,
	"bounds.warmupOverage": "1.5", "bounds.warmupSlack": "5",
	"bounds.canaryShare": "0.1", "bounds.canarySlack": "40", "bounds.rollbackMs": "4000",
}

var placeholder = regexp.MustCompile(`\{\{([^}]+)\}\}`)

// optionalSection matches a section that the platform keeps only if it has a value, as bootstrap
// when the whole site starts for the first time.
var optionalSection = regexp.MustCompile(`\{\{#[^}]+\}\}(.*?)\{\{/[^}]+\}\}`)

func TestTemplateMakesGoodSettings(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile("../../deploy/gateway.jsonc.tmpl")
	is.NoErr(err)
	for kept, want := range map[string]struct {
		spread, beat, leave, evacuate          time.Duration
		link, memory, warmupRatio, warmupSlack float64
		rollout                                rollout.Config
	}{
		"$1": {time.Second, 1500 * time.Millisecond, 4 * time.Second, 4500 * time.Millisecond, 140, 184, 1.5, 5, rollout.Config{CanaryShare: 0.1, CanarySlack: 40, RollbackWithin: unit.Duration(4 * time.Second)}},
		"":   {60 * time.Millisecond, 1200 * time.Millisecond, 3 * time.Second, 0, 0, 256, 1, 0, rollout.DefaultConfig()},
	} {
		filled := placeholder.ReplaceAllStringFunc(optionalSection.ReplaceAllString(string(text), kept), func(p string) string {
			value, ok := platformFields[strings.Trim(p, "{}")]
			is.True(ok) // the platform must have the field
			return value
		})
		s, err := settings.Parse("template", []byte(filled), DefaultSettings())
		is.NoErr(err)
		is.Equal(s.Discovery.ApplyWithin.Std(), 5*time.Second)
		is.Equal(s.Discovery.StartSpread.Std(), want.spread)
		is.Equal(s.Discovery.RegistrationBeat.Std(), want.beat)
		is.Equal(s.Discovery.LeaveWithin.Std(), want.leave)
		is.Equal(s.Discovery.EvacuateWithin.Std(), want.evacuate)
		is.Equal(s.LinkMbps, want.link)
		is.Equal(s.Memory.LimitMB, want.memory)
		is.Equal(s.Gateway.WarmupRatio, want.warmupRatio)
		is.Equal(s.Gateway.WarmupSlack, want.warmupSlack)
		is.Equal(s.Gateway.RetrySlack, 182.0)
		is.Equal(s.Rollout, want.rollout)
		is.Equal(s.Rollout.Enabled(), kept != "")
		is.Equal(s.Gateway.Regions["new-town"], "kolkata")
		is.Equal(s.Addresses.Peers, "10.1.0.39:8224")
	}
}

func TestBadSettingsAreNamedWithTheirPlace(t *testing.T) {
	is := is.New(t)
	_, err := settings.Parse("f", []byte("{\n  \"gateway\": {\"retry_ratio\": 7},\n  \"stop\": {\"grace\": \"1s\"}\n}"), DefaultSettings())
	is.True(strings.Contains(err.Error(), "f:2:"))
	is.True(strings.Contains(err.Error(), "retry_ratio"))
	is.True(strings.Contains(err.Error(), "grace"))
	is.True(strings.Contains(err.Error(), "failure_domain"))
}
