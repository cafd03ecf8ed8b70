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

// fleet is the targets of all services as this host uses them.
type fleet struct {
	cfg    Config
	host   string     // own id
	domain string     // own failure domain
	hosts  func() int // number of hosts, this one included
	dial   netdial.Func
	roster *roster       // who gathers queries
	serial atomic.Uint64 // of the view; grows with each

	mu       sync.Mutex
	services map[string]*service
	owners   map[string]*service // by target
	shared   int                 // hosts that limits and budgets were last made for
	divided  []member.Host       // members that they were last made for
	view     discovery.View
	shardOf  map[string]*routing.Route // route over shards that a service is one of

	onCold chan struct{} // a target without a permit has become cold
	// permitsCount reports whether this host may go by its permits to send to cold targets.
	permitsCount func() bool
	started      time.Time
}

func newFleet(cfg Config, host, domain string, hosts func() int) *fleet {
	dialer := netdial.New(0) // the pool bounds the opening
	return &fleet{
		cfg: cfg, host: host, domain: domain, hosts: hosts, dial: dialer.DialContext, services: map[string]*service{},
		onCold: make(chan struct{}, 1), started: time.Now(),
		roster: newRoster(member.Host{ID: host, FailureDomain: domain}, func() []member.Host { return nil }),
	}
}

// size returns the number of hosts that share targets and budgets. It is never
// less than it was in this process: hosts that are away may be back at any time, and
// what they opened may still be open at the targets.
func (f *fleet) size() int {
	f.shared = max(f.shared, f.hosts(), f.cfg.FleetSize)
	return f.shared
}

// DialWith makes the gateway open its connections to targets with dial, before
// Start. Tests use it for connections in memory.
func (g *Gateway) DialWith(dial netdial.Func) { g.fleet.dial = dial }

// service returns the service with the name; it may have no targets yet.
func (f *fleet) service(name string) *service {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.services[name]
	if !ok {
		s = &service{
			name: name, byID: map[string]*target{}, changed: make(chan struct{}),
			budget: policy.NewShare(f.cfg.allowance(), f.equalWeight(), f.draw(name)), neverAside: f.cfg.off(SetAside),
			coldFrom: f.started.Add(startHold), permitsCount: f.permitsCount, onCold: f.onCold, regions: f.cfg.Regions,
		}
		f.services[name] = s
	}
	return s
}

// apply takes over the targets and the configuration of a view.
func (f *fleet) apply(v discovery.View) {
	byService := map[string][]discovery.Target{}
	owners := make(map[string]*service, len(v.Targets))
	for _, t := range v.Targets {
		byService[t.Service] = append(byService[t.Service], t)
		owners[t.ID] = f.service(t.Service)
	}
	f.mu.Lock()
	f.owners = owners
	f.view = v
	f.shardOf = shardsOf(v.Table)
	ranks := urgentRanks(v.Table)
	services := slices.Collect(maps.Values(f.services)) // with those that lost all targets
	f.mu.Unlock()
	for _, s := range services {
		s.apply(f, byService[s.name], v, ranks[s.name])
	}
	f.serial.Add(1)
	f.divide(services)
}

// shardsOf returns a route over shards for each service that is one of its shards.
func shardsOf(table *routing.Table) map[string]*routing.Route {
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

// divide shares connections and budgets among the hosts anew.
func (f *fleet) divide(services []*service) {
	for _, s := range services {
		s.resize(f, f.weight(s.name))
	}
}

// weight returns the part of this host in the connections and further attempts of a
// service.
func (f *fleet) weight(service string) float64 {
	f.mu.Lock()
	route, hosts := f.shardOf[service], f.size()
	f.mu.Unlock()
	if route == nil || f.cfg.off(Weights) {
		return 1 / float64(hosts)
	}
	g := f.roster.of(f, route)
	// A host that has only begun to learn of the others takes no more than its part of
	// the smallest fleet.
	return policy.Weight(g.weight, max(g.count, min(f.cfg.FleetSize, hosts)), hosts)
}

// equalWeight returns the part of a host where all do the same. The caller holds the lock.
func (f *fleet) equalWeight() float64 { return 1 / float64(f.size()) }

// draw is drawn for this host and a service, from 0 to 1; it is the same at each start.
func (f *fleet) draw(service string) float64 {
	return float64(xxhash.Sum64String(f.host+"/"+service)>>11) / (1 << 53)
}

// find returns a target and its service, nil if it is not known.
func (f *fleet) find(id string) (*service, *target) {
	f.mu.Lock()
	s := f.owners[id]
	f.mu.Unlock()
	if s == nil {
		return nil, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s, s.byID[id]
}

// deadShare is the part of a target's connections, per open one, that are left
// for connections whose host lost power: the target does not know that they are
// dead, and refuses those above its limit.
const deadShare = 0.5

// shortKeep is how long an idle connection to a target that is not asked first
// is kept where not every host can keep one.
const shortKeep = time.Second

// share is what this host may hold of the connections to one target.
type share struct {
	home  int           // to the targets that it asks first
	other int           // to the rest
	keep  time.Duration // of idle connections to the rest; 0: as the target says
}

// share returns this host's part, by its weight, in the connections to a target of a
// service with a number of targets.
func (f *fleet) share(v discovery.View, name string, targets int, weight float64) share {
	if v.Table == nil {
		return share{home: 1, other: 1}
	}
	s, ok := v.Table.Service(name)
	if !ok || s.MaxConnections <= 0 {
		return share{home: 1, other: 1}
	}
	each := float64(s.MaxConnections) * weight / (1 + deadShare)
	out := share{home: max(int(math.Round(each*float64(max(targets, 1)))), 1), other: max(int(each), 1)}
	if each < 1 {
		out.keep = shortKeep
	}
	return out
}

func (f *fleet) target(t discovery.Target) *target {
	return &target{
		conf:   t,
		pool:   targetconn.NewPool(t.Address, 1, f.cfg.ConnectTimeout.Std(), f.dial),
		health: policy.NewQuickOutlier(),
		warmth: warmth{window: &policy.ColdWindow{}},
	}
}

// allServices returns all services.
func (f *fleet) allServices() []*service {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Collect(maps.Values(f.services))
}

// trim closes the idle connections that targets are about to close.
func (f *fleet) trim(now time.Time) {
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
func (f *fleet) resize() {
	f.mu.Lock()
	before, divided := f.shared, f.divided
	hosts := f.size()
	f.divided = f.roster.hosts()
	same := hosts == before && sameList(divided, f.divided)
	services := slices.Collect(maps.Values(f.services))
	f.mu.Unlock()
	if !same {
		f.divide(services)
	}
}

// trimEvery is the time between two looks at idle connections.
const trimEvery = time.Second

// runTrim trims until ctx is done.
func (f *fleet) runTrim(ctx context.Context) {
	tick := time.NewTicker(trimEvery)
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
