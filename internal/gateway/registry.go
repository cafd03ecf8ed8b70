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

// serviceRegistry holds the services with their targets, and this host's shares in them.
type serviceRegistry struct {
	cfg           Config
	hostID        string     // of this host
	failureDomain string     // of this host
	knownHosts    func() int // number of hosts, this one included
	dial          netdial.Func
	gatherers     *gathererIndex // hosts that gather queries
	generation    atomic.Uint64  // incremented with each view

	mu           sync.Mutex
	services     map[string]*service
	serviceOf    map[string]*service // service of a target, by target id
	maxHosts     int                 // maximum number of hosts seen, by which connections and budgets are divided
	dividedAmong []member.Host       // members at the last division
	view         discovery.View
	orders       rolloutOrders
	routeByShard map[string]*routing.Route // a route with shards, by each of its shards

	coldSignal chan struct{} // receives when a target without a permit has become cold
	// permitsValid reports whether this host may use its permits to send to cold targets.
	permitsValid func() bool
	startedAt    time.Time
}

func newServiceRegistry(cfg Config, host, domain string, hosts func() int) *serviceRegistry {
	dialer := netdial.NewLimited(0) // no timeout of its own: the pool limits the time
	return &serviceRegistry{
		cfg: cfg, hostID: host, failureDomain: domain, knownHosts: hosts, dial: dialer.DialContext, services: map[string]*service{},
		coldSignal: make(chan struct{}, 1), startedAt: time.Now(),
		gatherers: newGathererIndex(member.Host{ID: host, FailureDomain: domain}, func() []member.Host { return nil }),
	}
}

// hostCount returns the number of hosts that share targets and budgets. It never decreases during
// the life of the process: hosts that are gone may return at any time, and their connections may
// still be open at the targets.
func (reg *serviceRegistry) hostCount() int {
	reg.maxHosts = max(reg.maxHosts, reg.knownHosts(), reg.cfg.FleetSize)
	return reg.maxHosts
}

// DialWith sets the function that opens connections to targets. It must be called before Start.
// Tests use it for in-memory connections.
func (g *Gateway) DialWith(dial netdial.Func) { g.registry.dial = dial }

// service returns the service of a name, creating one without targets if necessary.
func (reg *serviceRegistry) service(name string) *service {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	s, ok := reg.services[name]
	if !ok {
		s = &service{
			name: name, byID: map[string]*target{},
			budget: policy.NewShare(reg.cfg.retryAllowance(), reg.equalWeight(), reg.hostDraw(name)), ejectionOff: reg.cfg.disabled(Ejection), waitsInOrderOfArrival: reg.cfg.disabled(WaitingOrder),
			coldSendsFrom: reg.startedAt.Add(coldStartupDelay), permitsValid: reg.permitsValid, coldSignal: reg.coldSignal, regions: reg.cfg.Regions,
		}
		if reg.orders.enabled {
			s.rollout = newServiceRollout(reg.orders.current)
		}
		reg.services[name] = s
	}
	return s
}

// apply applies the targets and the configuration of a view.
func (reg *serviceRegistry) apply(v discovery.View) {
	byService := map[string][]discovery.Target{}
	serviceOf := make(map[string]*service, len(v.Targets))
	for _, t := range v.Targets {
		byService[t.Service] = append(byService[t.Service], t)
		serviceOf[t.ID] = reg.service(t.Service)
	}
	reg.mu.Lock()
	reg.serviceOf = serviceOf
	reg.view = v
	reg.routeByShard = routesByShard(v.Table)
	ranks := urgentRanks(v.Table)
	services := slices.Collect(maps.Values(reg.services)) // including those that lost all targets
	reg.mu.Unlock()
	for _, s := range services {
		s.apply(reg, byService[s.name], v, ranks[s.name])
	}
	reg.generation.Add(1)
	reg.distribute(services)
}

// routesByShard returns, for each service that is a shard, a route that it is a shard of.
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

// distribute divides connections and budgets among the hosts again.
func (reg *serviceRegistry) distribute(services []*service) {
	for _, s := range services {
		s.setShare(reg, reg.weight(s.name))
	}
}

// weight returns this host's share of the connections and extra attempts of a service.
func (reg *serviceRegistry) weight(service string) float64 {
	reg.mu.Lock()
	route, hosts := reg.routeByShard[service], reg.hostCount()
	reg.mu.Unlock()
	if route == nil || reg.cfg.disabled(GathererWeights) {
		return 1 / float64(hosts)
	}
	g := reg.gatherers.forRoute(reg, route)
	// A host that does not know all others yet takes no more than its share of a fleet of the
	// minimum size.
	return policy.Weight(g.counted, max(g.count, min(reg.cfg.FleetSize, hosts)), hosts)
}

// equalWeight returns the share of each host if all are equal. The caller holds the lock.
func (reg *serviceRegistry) equalWeight() float64 { return 1 / float64(reg.hostCount()) }

// hostDraw returns a pseudo-random number in [0, 1) that is fixed for this host and a service.
func (reg *serviceRegistry) hostDraw(service string) float64 {
	return float64(xxhash.Sum64String(reg.hostID+"/"+service)>>11) / (1 << 53)
}

// find returns a target and its service, nil if the target is unknown.
func (reg *serviceRegistry) find(id string) (*service, *target) {
	reg.mu.Lock()
	s := reg.serviceOf[id]
	reg.mu.Unlock()
	if s == nil {
		return nil, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s, s.byID[id]
}

// deadConnectionRatio is how many connections to a target are reserved, per open one, for those
// whose host lost power: the target does not notice that they are dead, and refuses new connections
// above its limit.
const deadConnectionRatio = 0.5

// shortIdleTimeout is how long idle connections to other than preferred targets are kept where not
// every host can keep one.
const shortIdleTimeout = time.Second

// connectionLimits limits this host's connections to each target of a service.
type connectionLimits struct {
	preferred   int           // to a preferred target
	other       int           // to any other target
	idleTimeout time.Duration // of idle connections to other targets; 0: as the target announces
}

// connectionLimits returns the limits for a service with a number of targets, by this host's
// weight.
func (reg *serviceRegistry) connectionLimits(v discovery.View, name string, targets int, weight float64) connectionLimits {
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

func (reg *serviceRegistry) newTarget(t discovery.Target) *target {
	return &target{
		info:   t,
		pool:   targetconn.NewPool(t.Address, 1, reg.cfg.ConnectTimeout.Std(), reg.dial),
		health: policy.NewQuickOutlier(),
		cold:   coldState{window: &policy.ColdWindow{}},
	}
}

// allServices returns all services.
func (reg *serviceRegistry) allServices() []*service {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	return slices.Collect(maps.Values(reg.services))
}

// trim closes the idle connections that targets are about to close.
func (reg *serviceRegistry) trim(now time.Time) {
	for _, s := range reg.allServices() {
		s.mu.Lock()
		targets := s.targets
		s.mu.Unlock()
		for _, t := range targets {
			t.pool.CloseExpired(now)
		}
	}
}

// redistribute divides connections and budgets again if the hosts have changed.
func (reg *serviceRegistry) redistribute() {
	reg.mu.Lock()
	before, divided := reg.maxHosts, reg.dividedAmong
	hosts := reg.hostCount()
	reg.dividedAmong = reg.gatherers.hosts()
	same := hosts == before && sameSlice(divided, reg.dividedAmong)
	services := slices.Collect(maps.Values(reg.services))
	reg.mu.Unlock()
	if !same {
		reg.distribute(services)
	}
}

// trimInterval is the time between two checks of the idle connections.
const trimInterval = time.Second

// maintainConnections trims idle connections and follows changes of the hosts and of the versions
// that get requests, until ctx is done.
func (reg *serviceRegistry) maintainConnections(ctx context.Context) {
	tick := time.NewTicker(trimInterval)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			reg.trim(now)
			reg.redistribute()
			reg.observeVersions(now)
		case <-ctx.Done():
			return
		}
	}
}
