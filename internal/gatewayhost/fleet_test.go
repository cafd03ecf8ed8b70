package gatewayhost

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/objstore"
	"rhubarbwood.example/rhubarbwood/internal/standin"
	"rhubarbwood.example/rhubarbwood/internal/standin/objectstore"
	"rhubarbwood.example/rhubarbwood/internal/standin/platformtarget"
	"rhubarbwood.example/rhubarbwood/internal/unit"
	"rhubarbwood.example/rhubarbwood/platform"
)

// The fleet of the tests below: whole hosts, targets and a store in virtual time, over
// connections in memory.
const (
	fleetHosts  = 9
	fleetShards = 10
	fleetSlots  = 4

	storeAddress = "store:80"
	fleetHost    = "lists.example"
	pathQuery    = "/lists/" // to all shards
	pathSingle   = "/gifts/" // to one service
	pathOnce     = "/claim/" // the same, not idempotent

	downFor    = 3 * time.Second         // a target that ended is back after that
	lapseAfter = 3600 * time.Millisecond // its registration goes after that
	workTime   = 10 * time.Millisecond   // of a request at a target
	callerTime = 600 * time.Millisecond  // that a caller waits
	beat       = 1200 * time.Millisecond // between two registrations of a target
	farAway    = 150 * time.Millisecond  // that a connection to a far host takes
)

// fleetDomains are the failure domains of the hosts in turn; targets stand in all but the last.
var fleetDomains = []string{"recife-a", "recife-b", "fortaleza-a", "natal-a"}

// fleet is a site under test.
type fleet struct {
	t       *testing.T
	network *standin.Network
	store   *objectstore.Store
	servers []*http.Server // of the store
	targets []*fleetTarget
	hosts   []*fleetHostProcess
	links   func(host int) float64 // of the hosts, in Mbit/s; nil: all alike
	old     []*fleetHostProcess    // that were killed

	mu sync.Mutex
	// crashes are the ends of targets, in order.
	crashes []crash
	// arrivals are the requests that end targets, as they came to targets.
	arrivals []arrival
	lost     int           // targets that ended by themselves
	keepID   bool          // a target is back under the id that it had
	down     time.Duration // that a target is down; 0: downFor
	// settings changes those of each host; nil: nothing.
	settings func(*Settings)
	coldFor  time.Duration // that a target is cold after it has started again
	coldPerS float64       // that it bears then, as its service says
	started  []*platformtarget.Target
	// work are all requests as they came to targets.
	work []targetWork
	far  string // address to which a connection takes farAway
	// endsAfter returns how long a target runs a request before it ends; nil: half of the
	// usual work.
	endsAfter func(target int) time.Duration
}

// crash is the end of a target under a request.
type crash struct {
	at     time.Time
	target string
}

// arrival is a request that ends targets as it comes to one.
type arrival struct {
	at      time.Time
	request string
}

// targetWork is a request that came to a target.
type targetWork struct {
	at     time.Time
	target *fleetTarget
}

// poison is in the path of requests that end the targets that begin to run them.
const poison = "poison"

// fleetTarget is one target and its incarnations.
type fleetTarget struct {
	fleet           *fleet
	number          int
	name            string
	service, domain string
	address         string

	mu     sync.Mutex
	starts int
	id     string
	server *http.Server
	target *platformtarget.Target
	up     bool
}

// goCold makes the target cold as it runs, and lets its registration say so a beat later.
func (t *fleetTarget) goCold(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.target.GoCold(d)
	id, target := t.id, t.target
	time.AfterFunc(beat, func() { t.fleet.register(id, target.Registration(t.address, t.domain)) })
}

// start starts an incarnation.
func (t *fleetTarget) start() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.starts++
	if t.id == "" || !t.fleet.keepID {
		t.id = fmt.Sprintf("%s/%d", t.name, t.starts)
	}
	cfg := platformtarget.Config{
		ID: t.id, Service: t.service, Slots: fleetSlots, Queue: fleetSlots, Records: 5,
		Latency: standin.Latency{Mean: unit.Duration(workTime)}, Born: time.Now(),
	}
	if t.starts > 1 {
		cfg.Cold = t.fleet.coldFor
	}
	target := platformtarget.New(cfg)
	t.target = target
	t.fleet.noteStart(target)
	t.server = &http.Server{Handler: t.fragile(target)}
	t.up = true
	ln, _ := t.fleet.network.Listen(t.address) // never fails in memory
	go func() { _ = t.server.Serve(ln) }()
	t.fleet.register(t.id, target.Registration(t.address, t.domain))
}

// fragile ends the target once it begins to run a request of the poison.
func (t *fleetTarget) fragile(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		t.fleet.noteWork(t)
		if !isPoison(r) {
			next.ServeHTTP(w, r)
			return
		}
		t.fleet.noteArrival(r.Header.Get(platform.HeaderRequestID))
		time.Sleep(t.endsAfter())
		t.crash()
		panic(http.ErrAbortHandler)
	})
}

func (t *fleetTarget) endsAfter() time.Duration {
	if t.fleet.endsAfter == nil {
		return workTime / 2
	}
	return t.fleet.endsAfter(t.number)
}

func isPoison(r *http.Request) bool { return strings.HasSuffix(r.URL.Path, poison) }

// crash ends the target under a request.
func (t *fleetTarget) crash() {
	if id, ended := t.end(); ended {
		t.fleet.noteCrash(id)
	}
}

// lose ends the target by itself.
func (t *fleetTarget) lose() {
	if _, ended := t.end(); ended {
		t.fleet.mu.Lock()
		defer t.fleet.mu.Unlock()
		t.fleet.lost++
	}
}

// end ends the target, if it is up: its connections break off and it takes no new ones. It is
// back after a while.
func (t *fleetTarget) end() (id string, ended bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.up {
		return "", false
	}
	t.up = false
	_ = t.server.Close()
	id = t.id
	time.AfterFunc(cmp.Or(t.fleet.down, downFor), t.start)
	time.AfterFunc(lapseAfter, func() {
		if !t.fleet.keepID {
			t.fleet.store.Remove(platform.KindTargets, id)
		}
	})
	return id, true
}

func (f *fleet) noteCrash(target string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashes = append(f.crashes, crash{time.Now(), target})
}

func (f *fleet) noteStart(t *platformtarget.Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.started = append(f.started, t)
}

// mostWhileCold returns the most requests that came to any target in a second while it was cold, and how many targets
// got any.
func (f *fleet) mostWhileCold() (most, targets int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.started {
		most = max(most, t.MostWhileCold())
		if t.MostWhileCold() > 0 {
			targets++
		}
	}
	return most, targets
}

func (f *fleet) noteWork(t *fleetTarget) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.work = append(f.work, targetWork{time.Now(), t})
}

// workIn counts the requests that came to the targets of a failure domain in a span of time.
func (f *fleet) workIn(domain string, from, to time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, w := range f.work {
		if w.target.domain == domain && w.at.After(from) && !w.at.After(to) {
			n++
		}
	}
	return n
}

func (f *fleet) noteArrival(request string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.arrivals = append(f.arrivals, arrival{time.Now(), request})
}

// register writes a target's registration.
func (f *fleet) register(id string, r platform.Registration) {
	f.write(platform.KindTargets, id, r)
}

func (f *fleet) write(kind, name string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		f.t.Error(err)
	}
	f.store.Apply(kind, name, text)
}

// hostNetwork is the network as one process sees it: it ends with the process.
type hostNetwork struct {
	network *standin.Network
	fleet   *fleet

	mu    sync.Mutex
	dead  bool
	apart bool // from the other hosts
	// storeless is set while the store can't be reached.
	storeless bool
	conns     []net.Conn
	peers     []net.Conn // of these, to other hosts
	stores    []net.Conn // of these, to the store
	on        []net.Listener
}

// Listen is a listen.Func.
func (n *hostNetwork) Listen(_, address string) (net.Listener, error) {
	ln, err := n.network.Listen(address)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.on = append(n.on, ln)
	return hostListener{ln, n}, err
}

// Dial is a netdial.Func.
func (n *hostNetwork) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	toPeer := strings.HasSuffix(address, fmt.Sprint(":", portPeers))
	toStore := address == storeAddress
	if address == n.fleet.far {
		time.Sleep(farAway)
	}
	if n.cut(toPeer, toStore) {
		return nil, net.ErrClosed
	}
	c, err := n.network.Dial(ctx, network, address)
	if err == nil {
		n.keep(c, toPeer, toStore)
	}
	return c, err
}

func (n *hostNetwork) cut(toPeer, toStore bool) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dead || n.apart && toPeer || n.storeless && toStore
}

func (n *hostNetwork) keep(c net.Conn, toPeer, toStore bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns = append(n.conns, c)
	if toPeer {
		n.peers = append(n.peers, c)
	}
	if toStore {
		n.stores = append(n.stores, c)
	}
}

// loseStore cuts the process off from the store, or ends that.
func (n *hostNetwork) loseStore(lost bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.storeless = lost
	if !lost {
		return
	}
	for _, c := range n.stores {
		_ = c.Close()
	}
}

// part cuts the process off from the other hosts.
func (n *hostNetwork) part() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.apart = true
	for _, c := range n.peers {
		_ = c.Close()
	}
}

// kill ends the process as far as anybody else can tell.
func (n *hostNetwork) kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dead = true
	for _, ln := range n.on {
		_ = ln.Close()
	}
	for _, c := range n.conns {
		_ = c.Close()
	}
}

type hostListener struct {
	net.Listener
	network *hostNetwork
}

// Accept waits for a connection.
func (l hostListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.network.keep(c, false, false)
	}
	return c, err
}

// fleetHostProcess is one process of a host.
type fleetHostProcess struct {
	*Host
	network *hostNetwork
}

// runFleet runs a test on a fleet whose hosts are ready.
func runFleet(t *testing.T, f *fleet, test func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f.t, f.network = t, standin.NewNetwork()
		cfg := objectstore.DefaultConfig()
		f.store = objectstore.New(cfg)
		f.startStore()
		f.configure(1)
		f.startTargets()
		for i := range fleetHosts {
			f.hosts = append(f.hosts, f.startHost(i))
		}
		defer f.stop() // also after a failure
		f.waitReady()
		test(t, f)
	})
}

func (f *fleet) startStore() {
	ln, _ := f.network.Listen(storeAddress) // never fails in memory
	server := &http.Server{Handler: f.store.Handler()}
	f.servers = append(f.servers, server)
	go func() { _ = server.Serve(ln) }()
}

// configure writes the configuration.
func (f *fleet) configure(version uint64) {
	f.write(platform.KindConfig, platform.NameConfig, f.config(version))
}

// config is a configuration of a route over all shards, and two to one service.
func (f *fleet) config(version uint64) platform.Config {
	config := platform.Config{Version: version}
	query := platform.Route{
		Name: "lists", Hostname: fleetHost, PathPrefix: pathQuery, Type: platform.TypeIdempotent, TimeoutMs: 600,
		TargetLatencyMs: 100, MaxAttempts: 2, TopK: 5, MinSuccessShare: 0.9,
	}
	for i := range fleetShards {
		name := shardName(i)
		query.Shards = append(query.Shards, name)
		config.Services = append(config.Services, f.service(name))
	}
	single := platform.Route{
		Name: "gifts", Hostname: fleetHost, PathPrefix: pathSingle, Type: platform.TypeIdempotent, Service: singleService,
		TimeoutMs: 600, TargetLatencyMs: 100, MaxAttempts: 2,
	}
	once := single
	once.Name, once.PathPrefix, once.Type = "claim", pathOnce, platform.TypeNonIdempotent
	config.Services = append(config.Services, f.service(singleService))
	config.Routes = []platform.Route{query, single, once}
	return config
}

func (f *fleet) service(name string) platform.Service {
	return platform.Service{
		Name: name, HealthCheckPath: "/healthz", MaxConnections: 60, ColdStartS: f.coldFor.Seconds(), ColdPerS: f.coldPerS,
	}
}

const singleService = "gifts"

func shardName(i int) string { return fmt.Sprintf("lists-%d", i) }

// startTargets starts three targets of each shard, and six of the single service.
func (f *fleet) startTargets() {
	for _, domain := range fleetDomains[:len(fleetDomains)-1] {
		for i := range fleetShards {
			f.addTarget(shardName(i), 0, domain)
		}
		f.addTarget(singleService, 0, domain)
		f.addTarget(singleService, 1, domain)
	}
}

// addTarget starts a target of a service, the nth in its failure domain.
func (f *fleet) addTarget(service string, n int, domain string) *fleetTarget {
	name := fmt.Sprintf("%s-%s-%d", service, domain, n)
	t := &fleetTarget{fleet: f, number: len(f.targets), name: name, service: service, domain: domain, address: name + ":80"}
	f.targets = append(f.targets, t)
	t.start()
	return t
}

// Ports of the hosts.
const (
	portCallers = 80 + iota
	portReadiness
	portMetrics
	portPeers
)

func hostAddress(i, port int) string { return fmt.Sprintf("host-%d:%d", i, port) }

// startHost starts a process of a host.
func (f *fleet) startHost(i int) *fleetHostProcess {
	s := DefaultSettings()
	s.ID, s.FailureDomain = fmt.Sprintf("host-%d", i), fleetDomains[i%len(fleetDomains)]
	s.Addresses = Addresses{
		Callers: hostAddress(i, portCallers), Readiness: hostAddress(i, portReadiness),
		Metrics: hostAddress(i, portMetrics), Peers: hostAddress(i, portPeers),
	}
	s.Platform.Addresses = []string{storeAddress}
	s.Member.Seeds = []string{hostAddress(0, portPeers), hostAddress(1, portPeers)}
	s.Stop.BalancerLag = unit.Duration(time.Second)
	if f.links != nil {
		s.LinkMbps = f.links(i)
	}
	if f.settings != nil {
		f.settings(&s)
	}
	p := &fleetHostProcess{network: &hostNetwork{network: f.network, fleet: f}}
	onPlatform := OnPlatform()
	onPlatform.Records = func(c objstore.Config) objstore.Records {
		return platform.NewObjectsOver(p.network.Dial, c.Addresses...)
	}
	var err error
	p.Host, err = NewOn(System{Listen: p.network.Listen, Dial: p.network.Dial}, s, onPlatform, event.Discard())
	if err != nil {
		f.t.Fatal(err)
	}
	if err := p.Start(f.t.Context()); err != nil {
		f.t.Fatal(err)
	}
	return p
}

func (f *fleet) waitReady() {
	for _, h := range f.hosts {
		if err := h.WaitReady(f.t.Context()); err != nil {
			f.t.Fatal(err)
		}
	}
}

// killAll kills every process at the same moment, and starts each anew.
func (f *fleet) killAll() {
	for i, h := range f.hosts {
		h.network.kill()
		f.old = append(f.old, h)
		f.hosts[i] = nil
	}
	time.Sleep(time.Second)
	for i := range f.hosts {
		f.hosts[i] = f.startHost(i)
	}
	f.waitReady()
}

// stop ends everything, so that no goroutine is left in the bubble.
func (f *fleet) stop() {
	time.Sleep(time.Minute) // every target is back, every attempt has ended
	for _, h := range append(f.old, f.hosts...) {
		_ = h.Stop(context.Background()) // those that were killed can't reach anybody
	}
	for _, t := range f.targets {
		t.mu.Lock()
		_ = t.server.Close()
		t.mu.Unlock()
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
	time.Sleep(time.Minute)
	synctest.Wait()
}

// ask sends a request to a host on a connection of its own, and returns the status, 0 if
// none came.
func (f *fleet) ask(host int, method, path, id string) int {
	return f.askFrom("10.9.0.1:4000", host, method, path, id)
}

// askFrom is ask by a caller that the host sees under an address.
func (f *fleet) askFrom(caller string, host int, method, path, id string) int {
	dial := func(ctx context.Context, _, address string) (net.Conn, error) {
		return f.network.DialFrom(ctx, caller, address)
	}
	transport := &http.Transport{DialContext: dial, DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(f.t.Context(), callerTime)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+hostAddress(host, portCallers)+path, nil)
	if err != nil {
		f.t.Error(err)
		return 0
	}
	r.Host = fleetHost
	r.Header = http.Header{platform.HeaderRequestID: {id}, platform.HeaderDeadline: {fmt.Sprint(callerTime.Milliseconds())}}
	resp, err := transport.RoundTrip(r)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}
