package gateway

import (
	"context"
	"maps"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"rhubarbwood.example/rhubarbwood/internal/discovery"
	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/netdial"
	"rhubarbwood.example/rhubarbwood/internal/policy"
	"rhubarbwood.example/rhubarbwood/internal/routing"
	"rhubarbwood.example/rhubarbwood/internal/targetconn"
)

// serviceRegistry is the targets of all services as this host uses them.
type serviceRegistry struct {
	cfg           Config
	hostID        string     // own id
	failureDomain string     // own failure domain
	hosts         func() int // number of hosts, this one included
	dial          netdial.Func
	gatherers     *gathererIndex // who gathers queries
	generation    atomic.Uint64  // of the view; grows with each

	mu           sync.Mutex
	services     map[string]*service
	serviceOf    map[string]*service // by target
	maxHosts     int                 // hosts that limits and budgets were last made for
	dividedAmong []member.Host       // members that they were last made for
	view         discovery.View
	routeByShard map[string]*routing.Route // route over shards that a service is one of

	coldSignal chan struct{} // a target without a permit has become cold
	// permitsValid reports whether this host may go by its permits to send to cold targets.
	permitsValid func() bool
	startedAt    time.Time
}

func newServiceRegistry(cfg Config, host, domain string, hosts func() int) *serviceRegistry {
	dialer := netdial.New(0) // the pool bounds the opening
	return &serviceRegistry{
		cfg: cfg, hostID: host, failureDomain: domain, hosts: hosts, dial: dialer.DialContext, services: map[string]*service{},
		coldSignal: make(chan struct{}, 1), startedAt: time.Now(),
		gatherers: newGathererIndex(member.Host{ID: host, FailureDomain: domain}, func() []member.Host { return nil }),
	}
}

// hostCount returns the number of hosts that share targets and budgets. It is never
// less than it was in this process: hosts that are away may be back at any time, and
// what they opened may still be open at the targets.
func (f *serviceRegistry) hostCount() int {
	f.maxHosts = max(f.maxHosts, f.hosts(), f.cfg.FleetSize)
	return f.maxHosts
}

// DialWith makes the gateway open its connections to targets with dial, before
// Start. Tests use it for connections in memory.
func (g *Gateway) DialWith(dial netdial.Func) { g.registry.dial = dial }

// service returns the service with the name; it may have no targets yet.
func (f *serviceRegistry) service(name string) *service {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.services[name]
	if !ok {
		s = &service{
			name: name, byID: map[string]*target{}, changed: make(chan struct{}),
			budget: policy.NewShare(f.cfg.retryAllowance(), f.equalWeight(), f.hostDraw(name)), ejectionOff: f.cfg.disabled(Ejection),
			coldSendsFrom: f.startedAt.Add(coldStartupDelay), permitsValid: f.permitsValid, coldSignal: f.coldSignal, regions: f.cfg.Regions,
		}
		f.services[name] = s
	}
	return s
}

// apply takes over the targets and the configuration of a view.
func (f *serviceRegistry) apply(v discovery.View) {
	byService := map[string][]discovery.Target{}
	owners := make(map[string]*service, len(v.Targets))
	for _, t := range v.Targets {
		byService[t.Service] = append(byService[t.Service], t)
		owners[t.ID] = f.service(t.Service)
	}
	f.mu.Lock()
	f.serviceOf = owners
	f.view = v
	f.routeByShard = routesByShard(v.Table)
	ranks := urgentRanks(v.Table)
	services := slices.Collect(maps.Values(f.services)) // with those that lost all targets
	f.mu.Unlock()
	for _, s := range services {
		s.apply(f, byService[s.name], v, ranks[s.name])
	}
	f.generation.Add(1)
	f.distribute(services)
}

// routesByShard returns a route over shards for each service that is one of its shards.
func routesByShard(table *routing.Table) map[string]*routing.Route {
	of := map[string]*routing.Route{}
	if table == nil {
		return of
	}
	for i := range table.Config.Routes {
		route := &table.Config.Routes[i]
		for _, name := range route.Shards {
			of[name] = route
		}
	}
	return of
}

// urgentRanks returns the lowest rank of the routes to each service.
func urgentRanks(table *routing.Table) map[string]int {
	ranks := map[string]int{}
	if table == nil {
		return ranks
	}
	for _, route := range table.Config.Routes {
		for _, name := range route.Services() {
			if known, ok := ranks[name]; !ok || route.Rank < known {
				ranks[name] = route.Rank
			}
		}
	}
	return ranks
}

// distribute shares connections and budgets among the hosts anew.
func (f *serviceRegistry) distribute(services []*service) {
	for _, s := range services {
		s.resize(f, f.weight(s.name))
	}
}

// weight returns the part of this host in the connections and further attempts of a
// service.
func (f *serviceRegistry) weight(service string) float64 {
	f.mu.Lock()
	route, hosts := f.routeByShard[service], f.hostCount()
	f.mu.Unlock()
	if route == nil || f.cfg.disabled(GathererWeights) {
		return 1 / float64(hosts)
	}
	g := f.gatherers.forRoute(f, route)
	// A host that has only begun to learn of the others takes no more than its part of
	// the smallest fleet.
	return policy.Weight(g.counted, max(g.count, min(f.cfg.FleetSize, hosts)), hosts)
}

// equalWeight returns the part of a host where all do the same. The caller holds the lock.
func (f *serviceRegistry) equalWeight() float64 { return 1 / float64(f.hostCount()) }

// hostDraw is drawn for this host and a service, from 0 to 1; it is the same at each start.
func (f *serviceRegistry) hostDraw(service string) float64 {
	return float64(xxhash.Sum64String(f.hostID+"/"+service)>>11) / (1 << 53)
}

// find returns a target and its service, nil if it is not known.
func (f *serviceRegistry) find(id string) (*service, *target) {
	f.mu.Lock()
	s := f.serviceOf[id]
	f.mu.Unlock()
	if s == nil {
		return nil, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s, s.byID[id]
}

// deadConnectionRatio is the part of a target's connections, per open one, that are left
// for connections whose host lost power: the target does not know that they are
// dead, and refuses those above its limit.
const deadConnectionRatio = 0.5

// shortIdleTimeout is how long an idle connection to a target that is not asked first
// is kept where not every host can keep one.
const shortIdleTimeout = time.Second

// connectionLimits is what this host may hold of the connections to one target.
type connectionLimits struct {
	preferred   int           // to the targets that it asks first
	other       int           // to the rest
	idleTimeout time.Duration // of idle connections to the rest; 0: as the target says
}

// connectionLimits returns this host's part, by its weight, in the connections to a target of a
// service with a number of targets.
func (f *serviceRegistry) connectionLimits(v discovery.View, name string, targets int, weight float64) connectionLimits {
	if v.Table == nil {
		return connectionLimits{preferred: 1, other: 1}
	}
	s, ok := v.Table.Service(name)
	if !ok || s.MaxConnections <= 0 {
		return connectionLimits{preferred: 1, other: 1}
	}
	each := float64(s.MaxConnections) * weight / (1 + deadConnectionRatio)
	out := connectionLimits{preferred: max(int(math.Round(each*float64(max(targets, 1)))), 1), other: max(int(each), 1)}
	if each < 1 {
		out.idleTimeout = shortIdleTimeout
	}
	return out
}

func (f *serviceRegistry) newTarget(t discovery.Target) *target {
	return &target{
		conf:   t,
		pool:   targetconn.NewPool(t.Address, 1, f.cfg.ConnectTimeout.Std(), f.dial),
		health: policy.NewQuickOutlier(),
		cold:   coldState{window: &policy.ColdWindow{}},
	}
}

// allServices returns all services.
func (f *serviceRegistry) allServices() []*service {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Collect(maps.Values(f.services))
}

// trim closes the idle connections that targets are about to close.
func (f *serviceRegistry) trim(now time.Time) {
	for _, s := range f.allServices() {
		s.mu.Lock()
		targets := s.targets
		s.mu.Unlock()
		for _, t := range targets {
			t.pool.Trim(now)
		}
	}
}

// resize shares connections and budgets anew once the hosts have changed.
func (f *serviceRegistry) resize() {
	f.mu.Lock()
	before, divided := f.maxHosts, f.dividedAmong
	hosts := f.hostCount()
	f.dividedAmong = f.gatherers.hosts()
	same := hosts == before && sameSlice(divided, f.dividedAmong)
	services := slices.Collect(maps.Values(f.services))
	f.mu.Unlock()
	if !same {
		f.distribute(services)
	}
}

// trimInterval is the time between two looks at idle connections.
const trimInterval = time.Second

// maintainConnections trims until ctx is done.
func (f *serviceRegistry) maintainConnections(ctx context.Context) {
	tick := time.NewTicker(trimInterval)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			f.trim(now)
			f.resize()
		case <-ctx.Done():
			return
		}
	}
}
