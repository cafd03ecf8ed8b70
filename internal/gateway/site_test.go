package gateway_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	plog "github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"rhubarbwood.example/rhubarbwood/internal/clock"
	"rhubarbwood.example/rhubarbwood/internal/delivery"
	"rhubarbwood.example/rhubarbwood/internal/discovery"
	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/gateway"
	"rhubarbwood.example/rhubarbwood/internal/kernel"
	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/membudget"
	"rhubarbwood.example/rhubarbwood/internal/quarantine"
	"rhubarbwood.example/rhubarbwood/internal/routing"
	"rhubarbwood.example/rhubarbwood/internal/standin"
	"rhubarbwood.example/rhubarbwood/internal/standin/platformtarget"
	"rhubarbwood.example/rhubarbwood/internal/unit"
	"rhubarbwood.example/rhubarbwood/platform"
)

// Names of the site under test.
const (
	callersAddress = "gateway:80"
	caseHost       = "a.example"
	domain         = "salt-lake"
)

// Latencies of the site under test.
const (
	targetLatency = 10 * time.Millisecond
	objective     = 100 * time.Millisecond
	timeout       = 600 * time.Millisecond
)

// site is a gateway and its targets, in virtual time.
type site struct {
	t       *testing.T
	network *standin.Network
	state   *discovery.State
	life    *kernel.Lifecycle
	targets map[string]*platformtarget.Target
	servers []*http.Server
	caller  *http.Transport
	stop    func()
	// recorded has the delivery records of the gateway.
	recorded *recorder
	log      *event.Log
	requests *quarantine.Table
	suspend  func(time.Duration) // suspends the machine
	dial     dialFunc            // opens the connections to targets

	gateways      []*gateway.Gateway
	metrics       *prometheus.Registry // of the latest gateway
	regions       map[string]string    // of failure domains
	changeTarget  func(*platformtarget.Config)
	noRetryBudget bool // as in options
	messages      gateway.Messages
	rollouts      bool // the gateways follow rollouts
	memory        *membudget.Budgets
	maxBody       int64 // limit of a request's body in bytes; 0: 1 KB

	revision uint64
}

// options are the deviations of a site from the default.
type options struct {
	services int // number, with two targets each; 0: one
	records  int // in each target's response
	// unconfigured starts the gateway without a configuration.
	unconfigured bool
	// link is the rate of the gateway's network link in Mbit/s; hosts and helpers are the other
	// hosts and the client that delegates queries to them.
	link  uint32
	hosts []member.Host
	// listHosts returns the other hosts in place of hosts, where the list changes.
	listHosts func() []member.Host
	helpers   func(*site) gateway.Helpers
	// without has the disabled mechanisms.
	without []gateway.Mechanism
	// log receives the log lines; nil: they are discarded.
	log io.Writer
	// dial opens the connections to targets; nil: the in-memory network does, without delay.
	dial dialFunc
	// domainOf returns the failure domain of a service's targets; nil: domain.
	domainOf func(service int) string
	// regions of failure domains.
	regions map[string]string
	// noRetryBudget allows no attempts beyond the first ones.
	noRetryBudget bool
	// changeTarget modifies the settings of each target; nil: none.
	changeTarget func(*platformtarget.Config)
	rollouts     bool // the gateways follow rollouts
	// messages reads and writes headers; nil: platform.Messages.
	messages gateway.Messages
	// memory are the budgets of the gateways; nil: without limits.
	memory *membudget.Budgets
}

// dialFunc opens a connection from a gateway to a target.
type dialFunc func(s *site, ctx context.Context, network, address string) (net.Conn, error)

// setDial sets the function that opens connections to targets; nil: the in-memory network, without
// delay.
func (s *site) setDial(dial dialFunc) {
	if dial == nil {
		dial = func(s *site, ctx context.Context, network, address string) (net.Conn, error) {
			return s.network.Dial(ctx, network, address)
		}
	}
	s.dial = dial
}

// run runs a test on a site, in virtual time.
func run(t *testing.T, o options, test func(t *testing.T, s *site)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, o)
		defer s.close() // also after a failure
		test(t, s)
	})
}

func newSite(t *testing.T, o options) *site {
	s := &site{
		t: t, network: standin.NewNetwork(), state: discovery.NewState(), life: kernel.NewLifecycle(),
		recorded: &recorder{}, targets: map[string]*platformtarget.Target{}, stop: func() {}, log: event.Discard(),
	}
	if o.log != nil {
		s.log = event.New(o.log, plog.InfoLevel, "h")
	}
	machine, suspend := clock.NewVirtual()
	s.state.SetClock(machine)
	s.suspend = suspend
	s.requests = quarantine.NewTable(quarantine.DefaultConfig(), s.log)
	s.setDial(o.dial)
	if o.rollouts { // otherwise the state drops the versions of targets
		cfg := discovery.DefaultConfig()
		cfg.FollowRollouts, cfg.RollBackWithin = true, cfg.ApplyWithin
		discovery.NewFollower(cfg, nil, nil, s.state, s.log, prometheus.NewRegistry())
	}
	s.regions, s.changeTarget, s.noRetryBudget, s.rollouts = o.regions, o.changeTarget, o.noRetryBudget, o.rollouts
	s.messages, s.memory = o.messages, o.memory
	if s.messages == nil {
		s.messages = platform.Messages{}
	}
	g := s.gateway(member.Host{ID: "h", FailureDomain: domain, LinkMbps: o.link}, o.without...)
	if o.helpers != nil {
		listHosts := o.listHosts
		if listHosts == nil {
			listHosts = func() []member.Host { return o.hosts }
		}
		g.EnableHelpers(o.helpers(s), listHosts)
	}
	s.life.Advance(kernel.Ready)
	s.serve(callersAddress, g)
	s.caller = &http.Transport{DialContext: s.network.Dial}
	for i := range max(o.services, 1) {
		for j := range 2 {
			in := domain
			if o.domainOf != nil {
				in = o.domainOf(i)
			}
			s.addTarget(fmt.Sprintf("s%d", i), fmt.Sprintf("s%d-t%d", i, j), in, o.records)
		}
	}
	if !o.unconfigured {
		s.configure(1, s.defaultRoutes(max(o.services, 1))...)
	}
	return s
}

// emptyQuarantine returns a quarantine table without records.
func emptyQuarantine() *quarantine.Table {
	return quarantine.NewTable(quarantine.DefaultConfig(), event.Discard())
}

// gateway adds a gateway to the site and starts it.
func (s *site) gateway(self member.Host, without ...gateway.Mechanism) *gateway.Gateway {
	cfg := gateway.DefaultConfig()
	cfg.Without = without
	cfg.Regions = s.regions
	if s.noRetryBudget {
		cfg.RetryRatio, cfg.RetrySlack = 0, 0
	}
	s.metrics = prometheus.NewRegistry()
	g := gateway.New(cfg, self, func() int { return 1 }, s.state, s.requests, s.messages, s.recorded, s.life, s.log, s.metrics)
	g.DialWith(func(ctx context.Context, network, address string) (net.Conn, error) {
		return s.dial(s, ctx, network, address)
	})
	if s.memory != nil {
		g.UseMemory(s.memory)
	}
	s.gateways = append(s.gateways, g)
	if s.rollouts {
		g.EnableRollouts()
	}
	_ = g.Start(s.t.Context())
	stop := s.stop
	s.stop = func() {
		stop()
		_ = g.Stop(s.t.Context())
	}
	return g
}

func (s *site) serve(address string, h http.Handler) {
	ln, _ := s.network.Listen(address) // in-memory listeners never fail
	server := &http.Server{Handler: h}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(ln) }()
}

// close stops everything, so that no goroutine is left in the synctest bubble.
func (s *site) close() {
	s.stop()
	s.caller.CloseIdleConnections()
	time.Sleep(time.Minute) // until every attempt in flight has ended
	for _, server := range s.servers {
		_ = server.Close()
	}
	synctest.Wait()
}

func (s *site) addTarget(service, id, domain string, records int) {
	cfg := platformtarget.Config{
		ID: id, Service: service, Slots: 4, Queue: 4, Records: max(records, 1), Seed: uint64(len(s.targets)),
		Latency: standin.Latency{Mean: unit.Duration(targetLatency)},
	}
	if s.changeTarget != nil {
		s.changeTarget(&cfg)
	}
	target := platformtarget.New(cfg)
	s.targets[id] = target
	s.serve(id+":80", target)
	registration := discovery.Target{ID: id, Service: service, Address: id + ":80", Domain: domain, Slots: 4}
	if s.rollouts {
		registration.Version = oldVersion
	}
	s.register(registration)
}

func (s *site) register(t discovery.Target) {
	s.revision++
	change := discovery.TargetChanges{Changes: []discovery.TargetChange{{Target: t}}, Revision: at(s.revision)}
	s.state.ApplyChanges(change, time.Now())
}

// defaultRoutes returns three routes: /one/ to service s0, /once/ the same but not idempotent, and
// /all/ to every service as a shard.
func (s *site) defaultRoutes(services int) []routing.Route {
	one := routing.Route{
		Name: "one", Host: caseHost, Prefix: "/one/", Idempotent: true, Timeout: timeout, Objective: objective,
		MaxAttempts: 2, Destinations: []routing.Destination{{Service: "s0", Weight: 1}},
	}
	once := one
	once.Name, once.Prefix, once.Idempotent = "once", "/once/", false
	all := one
	all.Name, all.Prefix, all.Destinations = "all", "/all/", nil
	all.TopK, all.MinShare = 3, 0.5
	for i := range services {
		all.Shards = append(all.Shards, fmt.Sprintf("s%d", i))
	}
	return []routing.Route{one, once, all}
}

// configure applies a version of the configuration with the given routes.
func (s *site) configure(version uint64, routes ...routing.Route) {
	s.configureWith(version, func(*routing.Service) {}, routes...)
}

// configureWith is configure with a change to each service.
func (s *site) configureWith(version uint64, change func(*routing.Service), routes ...routing.Route) {
	limits := routing.Limits{BodyBytes: 1 << 10, HeaderBytes: 4 << 10}
	if s.maxBody > 0 {
		limits.BodyBytes = s.maxBody
	}
	c := routing.Config{Version: version, Routes: routes, Limits: limits}
	for i := range 20 {
		service := routing.Service{Name: fmt.Sprintf("s%d", i), MaxConnections: 90, HealthPath: "/healthz"}
		change(&service)
		c.Services = append(c.Services, service)
	}
	s.revision++
	s.state.ApplyConfig(discovery.ConfigRead{Config: c, Found: true, Revision: at(s.revision)}, time.Now())
}

// limitBodies applies a configuration with another limit of a request's body, in bytes.
func (s *site) limitBodies(bytes int64) {
	s.maxBody = bytes
	s.configure(2, s.defaultRoutes(1)...)
}

// answer is the response to a caller.
type answer struct {
	status int // 0: no response
	header http.Header
	body   []byte
	took   time.Duration
}

// send sends a request with an id and the default time limit.
func (s *site) send(method, path, id, body string) answer {
	return s.sendWith(s.t.Context(), method, path, body, http.Header{
		platform.HeaderRequestID: {id}, platform.HeaderDeadline: {"600"},
	})
}

func (s *site) get(path, id string) answer { return s.send(http.MethodGet, path, id, "") }

func (s *site) sendWith(ctx context.Context, method, path, body string, header http.Header) answer {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+callersAddress+path, bytes.NewBufferString(body))
	if err != nil {
		s.t.Fatal(err)
	}
	r.Host = caseHost
	r.Header = header
	began := time.Now()
	resp, err := s.caller.RoundTrip(r)
	if err != nil {
		return answer{took: time.Since(began)}
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	a := answer{status: resp.StatusCode, header: resp.Header, body: got, took: time.Since(began)}
	if err != nil {
		a.status = 0
	}
	return a
}

// faults sets the faults of a target, or of all targets of a service.
func (s *site) faults(name string, f platformtarget.Faults) {
	for id, t := range s.targets {
		if id == name || id[:len(id)-len("-t0")] == name {
			t.SetFaults(f)
		}
	}
}

// runs returns how often targets ran a request.
func (s *site) runs(id string) int {
	n := 0
	for _, t := range s.targets {
		for _, r := range t.Runs() {
			if r.RequestID == id {
				n++
			}
		}
	}
	return n
}

// recorder stores delivery records.
type recorder struct {
	mu  sync.Mutex
	all []delivery.Delivery
}

// Record implements delivery.Recorder.
func (r *recorder) Record(d delivery.Delivery) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, d)
}

// last returns the latest record.
func (r *recorder) last() delivery.Delivery {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.all[len(r.all)-1]
}
