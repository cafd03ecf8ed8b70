package relay

import (
	"math/rand/v2"
	"reflect"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/catalog"
	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/plan"
	"rhubarbwood.example/rhubarbwood/internal/policy"
)

// table is the pools as of one configuration and one membership.
type table struct {
	built      bool
	revision   uint64
	generation uint64
	pools      map[string]*pool
}

// pool returns the pool of a service, nil if there is no such service.
func (r *Relay) pool(service string) *pool { return r.current().pools[service] }

// current returns the table of the newest configuration. A change of
// membership is worked in beside the searches, as it means a new plan for
// every service; until then the assignment before serves as well.
func (r *Relay) current() *table {
	t := r.table.Load()
	if !t.built || t.revision != r.view.Revision() {
		return r.rebuild()
	}
	if t.generation != r.members.Generation() && r.planning.CompareAndSwap(false, true) {
		go func() {
			defer r.planning.Store(false)
			r.rebuild()
		}()
	}
	return t
}

func (r *Relay) rebuild() *table {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.table.Load()
	// The marks are read before the contents, so that a change in between
	// leads to another rebuild and is not missed.
	next := &table{
		built: true, revision: r.view.Revision(), generation: r.members.Generation(),
		pools: make(map[string]*pool),
	}
	moved := !old.built || old.generation != next.generation
	if !moved && old.revision == next.revision {
		return old
	}
	hosts := r.members.Hosts()
	for _, s := range r.view.Services() {
		next.pools[s.Name] = r.renewPool(old.pools[s.Name], s, hosts, moved)
	}
	for name, p := range old.pools {
		if _, ok := next.pools[name]; !ok {
			p.update(catalog.Service{Name: name, Workload: p.conf.Workload}, hosts)
		}
	}
	r.table.Store(next)
	return next
}

func (r *Relay) renewPool(p *pool, s catalog.Service, hosts []member.Host, moved bool) *pool {
	switch {
	case p == nil:
		p = r.newPool(s.Name)
		p.update(s, hosts)
	case moved || !reflect.DeepEqual(p.conf, s):
		p.update(s, hosts)
	default:
		p.forgetMaps()
	}
	return p
}

// forgetMaps drops what was read of snapshots; some may be gone.
func (p *pool) forgetMaps() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maps = map[uint64]*placement{}
}

func (r *Relay) newPool(name string) *pool {
	return &pool{
		relay: r, name: name, byID: map[string]*target{},
		rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// update makes the pool that of the service as now configured. Targets that
// stay as they were keep their state.
func (p *pool) update(s catalog.Service, hosts []member.Host) {
	now := time.Now()
	relays := plan.ForService(s, hosts)
	p.mu.Lock()
	first := p.queue == nil
	rules := first || !reflect.DeepEqual(p.conf.Rules, s.Rules)
	was, before := p.own, p.hosts
	p.conf, p.hosts, p.own = s, relays, contains(relays, p.relay.members.Self().ID)
	if first {
		p.queue = policy.NewQueue[*try](policy.QueueConfig{
			Capacity: p.relay.cfg.QueueLength, QueueWait: s.Rules.QueueWait.Std(),
		})
	}
	if rules {
		p.retries = policy.NewBudget(s.Rules.RetryBudget)
	}
	closing := p.updateTargets(now, s, max(len(relays), 1), rules, was != p.own)
	if !was && p.own {
		p.doubt(now)
	}
	p.tellNew(now, before)
	p.maps = map[uint64]*placement{}
	p.sets = p.keepSets(rules)
	p.stranding = true
	refused := p.drain(now)
	p.mu.Unlock()
	refused.tell()
	for _, t := range closing {
		t.closeIdle()
	}
}

// doubt drops old signs of the list about targets whose status this host never
// read: they may have started since. The relays before it tell it what stands.
func (p *pool) doubt(now time.Time) {
	for _, t := range p.targets {
		if t.health.incarnation == 0 && now.Sub(t.health.leftAt) > p.relay.cfg.HostListLag.Std() {
			t.health.forget()
		}
	}
}

func contains(hosts []member.Host, id string) bool {
	for _, h := range hosts {
		if h.ID == id {
			return true
		}
	}
	return false
}

// updateTargets returns the targets whose idle connections are to be closed.
func (p *pool) updateTargets(now time.Time, s catalog.Service, relays int, rules, turned bool) []*target {
	var closing []*target
	old := p.byID
	p.byID, p.targets = make(map[string]*target, len(s.Targets)), nil
	for _, c := range s.Targets {
		t, ok := old[c.ID]
		if !ok || rules || !same(t.conf, c) {
			t = p.relay.newTarget(s, c, relays, now)
			if ok && old[c.ID].conf.Address == c.Address {
				t.health = old[c.ID].health
			}
		} else {
			delete(old, c.ID)
		}
		p.setDrained(t, c.Drained)
		if relays != p.relays || turned || !ok {
			t.share(now, s.Rules, relays, p.own)
		}
		if !p.own {
			closing = append(closing, t)
		}
		p.byID[c.ID] = t
		p.targets = append(p.targets, t)
	}
	p.relays = relays
	for _, t := range old {
		t.gone = true
		closing = append(closing, t)
	}
	return closing
}

func (p *pool) setDrained(t *target, drained bool) {
	if t.health.drained == drained && t.conf.Drained == drained {
		return
	}
	t.health.drained, t.conf.Drained = drained, drained
	p.relay.log.Event(evTargetDrained).Str("service", p.name).Str("target", t.conf.ID).Bool("drained", drained).Msg("")
}

// same reports whether a target's settings differ in nothing but the drain.
func same(a, b catalog.Target) bool {
	a.Drained = b.Drained
	return a == b
}

// keepSets returns the replica sets whose hedgers are still right, with the
// targets as they now are.
func (p *pool) keepSets(rules bool) map[string]*replicaSet {
	if rules {
		return map[string]*replicaSet{}
	}
	kept := make(map[string]*replicaSet, len(p.sets))
	for key, s := range p.sets {
		if n := p.renew(s); n != nil {
			kept[key] = n
		}
	}
	return kept
}

func (p *pool) renew(s *replicaSet) *replicaSet {
	n := &replicaSet{hedger: s.hedger}
	n.delay.Store(s.delay.Load())
	for _, t := range s.targets {
		now, ok := p.byID[t.conf.ID]
		if !ok {
			return nil
		}
		n.add(now)
	}
	return n
}

// close closes the idle connections of all targets.
func (p *pool) close() {
	p.mu.Lock()
	targets := append([]*target(nil), p.targets...)
	if p.pacing != nil {
		p.pacing.Stop()
	}
	p.mu.Unlock()
	for _, t := range targets {
		t.closeIdle()
	}
}
