package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/standin/objectstore"
	"rhubarbwood.example/rhubarbwood/platform"
)

// Sizes of the site.
const (
	domains  = 3
	shards   = 4
	replicas = 2 // targets of each service
	slots    = 4 // of each target
	records  = 8 // in each answer of a target
	topK     = 5 // in a merged answer
	seeds    = 5 // hosts that a starting host asks first
)

// Times of the site's routes, and of its targets.
const (
	routeTimeout  = time.Second
	objective     = 200 * time.Millisecond
	targetLatency = 15 * time.Millisecond
	poisonDown    = 500 * time.Millisecond // how long a target is down that ran the poison
)

// Names of the site.
const (
	siteHost    = "soak.example"
	pathQuery   = "/lists/" // to all shards
	pathReserve = "/gifts/" // not idempotent
	pathVersion = "/desk/"  // to a service of its own in each version
	pathPoison  = "/lists/poison"
	serviceOnce = "gifts"
)

func shardName(i int) string   { return fmt.Sprintf("lists-%d", i) }
func versionName(v int) string { return fmt.Sprintf("desk-%d", v) }

// site is the store, the targets and the hosts of one run, with proxies between.
type site struct {
	cfg     Config
	dir     string
	ip      string // of the proxies, on the loopback and the site's alone
	store   *objectstore.Store
	stores  []*proxy // to the store, one for each host
	hosts   []*process
	fronts  []*proxy // to the callers' addresses of the hosts
	targets []*targetServer

	servers []*http.Server
	serving sync.WaitGroup
	// returning are the targets that have crashed and are to be back.
	returning sync.WaitGroup

	versions  int // of the configuration, at most
	mu        sync.Mutex
	version   int
	changes   []change
	evacuated map[string]time.Time // failure domains, since when
	arrivals  []arrival
	ended     chan struct{} // closes at stop
}

// change is one version of the configuration and when it was in the store.
type change struct {
	version int
	at      time.Time
}

// newSite starts everything. What was started is stopped by stop, also after an
// error.
func newSite(cfg Config) (*site, error) {
	dir, err := os.MkdirTemp("", "soak-")
	if err != nil {
		return nil, Error.New("make a folder: %w", err)
	}
	s := &site{dir: dir, ip: ownLoopback(), store: objectstore.New(cfg.storeConfig()), versions: cfg.versions(),
		cfg: cfg, evacuated: map[string]time.Time{}, ended: make(chan struct{})}
	if err := s.startTargets(); err != nil {
		return s, err
	}
	s.configure()
	if cfg.Restores {
		s.serving.Go(func() { s.store.KeepCopies(s.ended) })
	}
	return s, s.startHosts(cfg)
}

func domainName(i int) string { return fmt.Sprintf("domain-%d", i%domains) }

func (s *site) startTargets() error {
	names := []string{serviceOnce}
	for i := range shards {
		names = append(names, shardName(i))
	}
	for v := range s.versions {
		names = append(names, versionName(v+1))
	}
	for _, name := range names {
		for i := range replicas {
			if err := s.startTarget(name, i); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *site) startTarget(service string, i int) error {
	t := newTargetServer(s, fmt.Sprintf("%s-t%d", service, i), service, len(s.targets))
	address, err := s.serve(t)
	if err != nil {
		return err
	}
	if t.proxy, err = newProxy(s.ip, address); err != nil {
		return err
	}
	s.targets = append(s.targets, t)
	return t.register()
}

// serve serves a handler on a free port until stop.
func (s *site) serve(h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", freePort)
	if err != nil {
		return "", Error.New("listen for a stand-in: %w", err)
	}
	server := &http.Server{Handler: h}
	s.servers = append(s.servers, server)
	s.serving.Go(func() { _ = server.Serve(ln) }) // ends at stop
	return ln.Addr().String(), nil
}

func (s *site) apply(kind, name string, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return Error.New("encode %s/%s: %w", kind, name, err)
	}
	s.store.Apply(kind, name, text)
	return nil
}

// configure writes the next version of the configuration.
func (s *site) configure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.version == s.versions {
		return
	}
	s.version++
	if err := s.apply(platform.KindConfig, platform.NameConfig, s.configuration(s.version)); err != nil {
		panic(err) // the configuration always has a JSON form
	}
	s.changes = append(s.changes, change{s.version, time.Now()})
}

// configuration is one version of it.
func (s *site) configuration(version int) platform.Config {
	route := func(name, prefix, kind, service string) platform.Route {
		return platform.Route{
			Name: name, Hostname: siteHost, PathPrefix: prefix, Type: kind, Service: service, MaxAttempts: 2,
			TimeoutMs: routeTimeout.Milliseconds(), TargetLatencyMs: objective.Milliseconds(),
		}
	}
	query := route("lists", pathQuery, platform.TypeIdempotent, "")
	query.TopK, query.MinSuccessShare = topK, 0.5
	c := platform.Config{Version: uint64(version)}
	for i := range shards {
		query.Shards = append(query.Shards, shardName(i))
	}
	for _, name := range append(query.Shards[:shards:shards], serviceOnce, versionName(version)) {
		c.Services = append(c.Services, platform.Service{Name: name, HealthCheckPath: "/healthz", MaxConnections: 60})
	}
	c.Routes = []platform.Route{
		query, route("gifts", pathReserve, platform.TypeNonIdempotent, serviceOnce),
		route("desk", pathVersion, platform.TypeIdempotent, versionName(version)),
	}
	s.cfg.place(&c)
	return c
}

func (s *site) startHosts(cfg Config) error {
	store, err := s.serve(s.store.Handler())
	if err != nil {
		return err
	}
	const addresses = 4
	ports, err := freePorts(ownLoopback(), cfg.hosts()*addresses) // where no proxy takes them before the hosts do
	if err != nil {
		return err
	}
	var first []string
	for i := range min(cfg.hosts(), seeds) {
		first = append(first, ports[i*addresses+addresses-1])
	}
	for i := range cfg.hosts() {
		toStore, err := newProxy(s.ip, store)
		if err != nil {
			return err
		}
		s.stores = append(s.stores, toStore)
		p, err := newProcess(s.dir, cfg.Binary, fmt.Sprintf("host-%d", i), domainName(i), toStore.address(), [4]string(ports[i*addresses:]), first, cfg.link(i), cfg.placed())
		if err != nil {
			return err
		}
		front, err := newProxy(s.ip, p.callers)
		if err != nil {
			return err
		}
		s.fronts = append(s.fronts, front)
		if err := p.start(); err != nil {
			return err
		}
		s.hosts = append(s.hosts, p)
	}
	return nil
}

// stop ends what newSite started. The folder with the logs stays if keep is set.
func (s *site) stop(keep bool) {
	close(s.ended)
	for _, p := range s.hosts {
		p.signal(syscall.SIGKILL)
	}
	for _, p := range s.hosts {
		p.await(stopGrace)
	}
	for _, p := range append(s.fronts, s.stores...) {
		p.close()
	}
	for _, t := range s.targets {
		t.proxy.close()
	}
	for _, server := range s.servers {
		_ = server.Close() // what runs for ever is cut
	}
	s.serving.Wait()
	s.returning.Wait()
	if !keep {
		_ = os.RemoveAll(s.dir) // a folder that stays does no harm
	}
}
