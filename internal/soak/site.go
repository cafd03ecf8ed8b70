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
	domainCount       = 3
	shardCount        = 4
	targetsPerService = 2
	slotsPerTarget    = 4
	recordsPerAnswer  = 8
	topK              = 5 // records in a merged answer
	peerSeedCount     = 5 // hosts that a starting host contacts first
)

// Times of the site's routes and targets.
const (
	routeTimeout          = time.Second
	routeLatencyObjective = 200 * time.Millisecond
	targetLatency         = 15 * time.Millisecond
	poisonDowntime        = 500 * time.Millisecond // downtime of a target that ran a poison request
)

// Host name, path prefixes and service of the site's routes.
const (
	siteHost       = "soak.example"
	pathQuery      = "/lists/" // to all shards
	pathReserve    = "/gifts/" // non-idempotent
	pathVersion    = "/desk/"  // to a different service in each configuration version
	pathPoison     = "/lists/poison"
	reserveService = "gifts"
)

func shardService(i int) string   { return fmt.Sprintf("lists-%d", i) }
func versionService(v int) string { return fmt.Sprintf("desk-%d", v) }

// site is the store, the targets and the hosts of one run, connected through proxies.
type site struct {
	cfg           Config
	dir           string
	ip            string // loopback address of the proxies, used by this site only
	store         *objectstore.Store
	storeProxies  []*proxy // to the store, one per host
	hosts         []*process
	callerProxies []*proxy // to the hosts' addresses for callers
	targets       []*targetServer

	servers []*http.Server
	serving sync.WaitGroup
	// pendingTargetWork counts targets that are about to restart after a crash or to register again.
	pendingTargetWork sync.WaitGroup

	maxVersions    int // maximum number of configuration versions
	mu             sync.Mutex
	version        int
	configChanges  []configChange
	evacuatedSince map[string]time.Time // start of the evacuation, by failure domain
	poisonArrivals []poisonArrival
	stopped        chan struct{} // closed by stop
}

// configChange is a configuration version and the time at which it was written to the store.
type configChange struct {
	version     int
	publishedAt time.Time
}

// newSite starts the store, the targets and the hosts. The caller must call stop, also after an
// error.
func newSite(cfg Config) (*site, error) {
	dir, err := os.MkdirTemp("", "soak-")
	if err != nil {
		return nil, Error.New("create the run directory: %w", err)
	}
	s := &site{dir: dir, ip: ownLoopback(), store: objectstore.New(cfg.storeConfig()), maxVersions: cfg.maxConfigVersions(),
		cfg: cfg, evacuatedSince: map[string]time.Time{}, stopped: make(chan struct{})}
	if err := s.startTargets(); err != nil {
		return s, err
	}
	s.publishNextConfig()
	if cfg.Restores {
		s.serving.Go(func() { s.store.TakeBackups(s.stopped) })
	}
	return s, s.startHosts(cfg)
}

func domainName(i int) string { return fmt.Sprintf("domain-%d", i%domainCount) }

func (s *site) startTargets() error {
	names := []string{reserveService}
	for i := range shardCount {
		names = append(names, shardService(i))
	}
	for v := range s.maxVersions {
		names = append(names, versionService(v+1))
	}
	for _, name := range names {
		for i := range targetsPerService {
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

// serve serves a handler on a free port until stop is called.
func (s *site) serve(h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", freePort)
	if err != nil {
		return "", Error.New("listen for a stand-in: %w", err)
	}
	server := &http.Server{Handler: h}
	s.servers = append(s.servers, server)
	s.serving.Go(func() { _ = server.Serve(ln) }) // returns at stop
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

// publishNextConfig writes the next version of the configuration, up to the maximum number of
// versions.
func (s *site) publishNextConfig() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.version == s.maxVersions {
		return
	}
	s.version++
	if err := s.apply(platform.KindConfig, platform.NameConfig, s.configuration(s.version)); err != nil {
		panic(err) // the configuration always encodes
	}
	s.configChanges = append(s.configChanges, configChange{s.version, time.Now()})
}

// configuration returns one version of the configuration.
func (s *site) configuration(version int) platform.Config {
	route := func(name, prefix, kind, service string) platform.Route {
		return platform.Route{
			Name: name, Hostname: siteHost, PathPrefix: prefix, Type: kind, Service: service, MaxAttempts: 2,
			TimeoutMs: routeTimeout.Milliseconds(), TargetLatencyMs: routeLatencyObjective.Milliseconds(),
		}
	}
	query := route("lists", pathQuery, platform.TypeIdempotent, "")
	query.TopK, query.MinSuccessShare = topK, 0.5
	c := platform.Config{Version: uint64(version)}
	for i := range shardCount {
		query.Shards = append(query.Shards, shardService(i))
	}
	for _, name := range append(query.Shards[:shardCount:shardCount], reserveService, versionService(version)) {
		c.Services = append(c.Services, platform.Service{Name: name, HealthCheckPath: "/healthz", MaxConnections: 60})
	}
	c.Routes = []platform.Route{
		query, route("gifts", pathReserve, platform.TypeNonIdempotent, reserveService),
		route("desk", pathVersion, platform.TypeIdempotent, versionService(version)),
	}
	s.cfg.addPlacement(&c)
	return c
}

func (s *site) startHosts(cfg Config) error {
	store, err := s.serve(s.store.Handler())
	if err != nil {
		return err
	}
	const addressesPerHost = 4
	ports, err := freePorts(ownLoopback(), cfg.hosts()*addressesPerHost) // on an address of their own, so that no proxy takes the ports before the hosts do
	if err != nil {
		return err
	}
	var seedAddresses []string
	for i := range min(cfg.hosts(), peerSeedCount) {
		seedAddresses = append(seedAddresses, ports[i*addressesPerHost+addressesPerHost-1])
	}
	for i := range cfg.hosts() {
		storeProxy, err := newProxy(s.ip, store)
		if err != nil {
			return err
		}
		s.storeProxies = append(s.storeProxies, storeProxy)
		p, err := newProcess(s.dir, cfg.Binary, fmt.Sprintf("host-%d", i), domainName(i), storeProxy.address(), [4]string(ports[i*addressesPerHost:]), seedAddresses, cfg.linkMbps(i), cfg.placementSettings())
		if err != nil {
			return err
		}
		callerProxy, err := newProxy(s.ip, p.callersAddress)
		if err != nil {
			return err
		}
		s.callerProxies = append(s.callerProxies, callerProxy)
		if err := p.start(); err != nil {
			return err
		}
		s.hosts = append(s.hosts, p)
	}
	return nil
}

// stop ends everything that newSite started. The directory with the logs is kept if keep is set.
func (s *site) stop(keep bool) {
	close(s.stopped)
	for _, p := range s.hosts {
		p.signal(syscall.SIGKILL)
	}
	for _, p := range s.hosts {
		p.waitOrKill(stopGrace)
	}
	for _, p := range append(s.callerProxies, s.storeProxies...) {
		p.close()
	}
	for _, t := range s.targets {
		t.proxy.close()
	}
	for _, server := range s.servers {
		_ = server.Close() // cuts requests that never finish
	}
	s.serving.Wait()
	s.pendingTargetWork.Wait()
	if !keep {
		_ = os.RemoveAll(s.dir) // best effort: a leftover directory is harmless
	}
}
