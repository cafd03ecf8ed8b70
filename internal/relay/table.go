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

// table holds the pools of one configuration revision and one membership
// generation.
type table struct {
	built      bool             // false only in the initial, empty table
	revision   uint64           // of the configuration
	generation uint64           // of the membership
	pools      map[string]*pool // by service name
}

// pool returns the pool of a service, or nil if the service does not exist.
func (r *Relay) pool(service string) *pool { return r.current().pools[service] }

// current returns the table of the newest configuration. After a change of
// membership, which recomputes the plan of every service, the table is rebuilt
// in the background; until then the previous assignment is used.
func (r *Relay) current() *table {
	t := r.table.Load()
	if !t.built || t.revision != r.view.Revision() {
		return r.rebuild()
	}
	if t.generation != r.members.Generation() && r.rebuilding.CompareAndSwap(false, true) {
		go func() {
			defer r.rebuilding.Store(false)
			r.rebuild()
		}()
	}
	return t
}

func (r *Relay) rebuild() *table {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.table.Load()
	// The revision and generation are read before the contents, so that a
	// change in between leads to another rebuild and is not missed.
	next := &table{
		built: true, revision: r.view.Revision(), generation: r.members.Generation(),
		pools: make(map[string]*pool),
	}
	membershipChanged := !old.built || old.generation != next.generation
	if !membershipChanged && old.revision == next.revision {
		return old
	}
	hosts := r.members.Hosts()
	for _, s := range r.view.Services() {
		next.pools[s.Name] = r.updatePool(old.pools[s.Name], s, hosts, membershipChanged)
	}
	for name, p := range old.pools {
		if _, ok := next.pools[name]; !ok {
			p.update(catalog.Service{Name: name, Workload: p.conf.Workload}, hosts)
		}
	}
	r.table.Store(next)
	return next
}

// updatePool returns the pool of the service, created or updated as needed.
func (r *Relay) updatePool(p *pool, s catalog.Service, hosts []member.Host, membershipChanged bool) *pool {
	switch {
	case p == nil:
		p = r.newPool(s.Name)
		p.update(s, hosts)
	case membershipChanged || !reflect.DeepEqual(p.conf, s):
		p.update(s, hosts)
	default:
		p.clearPlacements()
	}
	return p
}

// clearPlacements discards the cached placements, because snapshots may have
// been removed.
func (p *pool) clearPlacements() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.placements = map[uint64]*placement{}
}

func (r *Relay) newPool(name string) *pool {
	return &pool{
		relay: r, name: name, byID: map[string]*target{},
		rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// update applies the configuration of the service and the membership. Targets
// whose settings are unchanged keep their state.
func (p *pool) update(s catalog.Service, hosts []member.Host) {
	now := time.Now()
	relays := plan.ForService(s, hosts)
	p.mu.Lock()
	first := p.queue == nil
	rulesChanged := first || !reflect.DeepEqual(p.conf.Rules, s.Rules)
	wasAssigned, previousHosts := p.assigned, p.relayHosts
	p.conf, p.relayHosts, p.assigned = s, relays, containsHost(relays, p.relay.members.Self().ID)
	if first {
		p.queue = policy.NewQueue[*try](policy.QueueConfig{
			Capacity: p.relay.cfg.QueueLength, QueueWait: s.Rules.QueueWait.Std(),
		})
	}
	if rulesChanged {
		p.retries = policy.NewBudget(s.Rules.RetryBudget)
	}
	closing := p.updateTargets(now, s, max(len(relays), 1), rulesChanged, wasAssigned != p.assigned)
	if !wasAssigned && p.assigned {
		p.dropUnconfirmedSigns(now)
	}
	p.announceToNewRelays(now, previousHosts)
	p.placements = map[uint64]*placement{}
	p.replicaSets = p.retainReplicaSets(rulesChanged)
	p.targetLeft = true
	refused := p.dispatch(now)
	p.mu.Unlock()
	refused.notify()
	for _, t := range closing {
		t.closeIdle()
	}
}

// dropUnconfirmedSigns clears host list signs older than HostListLag of
// targets whose status this host never read, since the targets may have
// restarted meanwhile. The previous relays send the signs that are still in
// force.
func (p *pool) dropUnconfirmedSigns(now time.Time) {
	for _, t := range p.targets {
		if t.health.incarnation == 0 && now.Sub(t.health.leavingSince) > p.relay.cfg.HostListLag.Std() {
			t.health.clearListSign()
		}
	}
}

func containsHost(hosts []member.Host, id string) bool {
	for _, h := range hosts {
		if h.ID == id {
			return true
		}
	}
	return false
}

// updateTargets replaces the targets by those of the service and returns the
// targets whose idle connections are to be closed.
func (p *pool) updateTargets(now time.Time, s catalog.Service, relays int, rulesChanged, assignmentChanged bool) []*target {
	var closing []*target
	previous := p.byID
	p.byID, p.targets = make(map[string]*target, len(s.Targets)), nil
	for _, c := range s.Targets {
		t, ok := previous[c.ID]
		if !ok || rulesChanged || !sameExceptDrain(t.conf, c) {
			t = p.relay.newTarget(s, c, relays, now)
			if ok && previous[c.ID].conf.Address == c.Address {
				t.health = previous[c.ID].health
			}
		} else {
			delete(previous, c.ID)
		}
		p.setDrained(t, c.Drained)
		if relays != p.relayCount || assignmentChanged || !ok {
			t.resizeLimit(now, s.Rules, relays, p.assigned)
		}
		if !p.assigned {
			closing = append(closing, t)
		}
		p.byID[c.ID] = t
		p.targets = append(p.targets, t)
	}
	p.relayCount = relays
	for _, t := range previous {
		t.removed = true
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

// sameExceptDrain reports whether the settings of a target are equal except
// for the drained flag.
func sameExceptDrain(a, b catalog.Target) bool {
	a.Drained = b.Drained
	return a == b
}

// retainReplicaSets returns the replica sets that keep their hedgers, bound to
// the current targets. A change of the rules discards all.
func (p *pool) retainReplicaSets(rulesChanged bool) map[string]*replicaSet {
	if rulesChanged {
		return map[string]*replicaSet{}
	}
	kept := make(map[string]*replicaSet, len(p.replicaSets))
	for key, s := range p.replicaSets {
		if n := p.rebindReplicaSet(s); n != nil {
			kept[key] = n
		}
	}
	return kept
}

// rebindReplicaSet returns a copy of the replica set with the current targets,
// or nil if one of them no longer exists.
func (p *pool) rebindReplicaSet(s *replicaSet) *replicaSet {
	n := &replicaSet{hedger: s.hedger}
	n.hedgeDelayNanos.Store(s.hedgeDelayNanos.Load())
	for _, t := range s.targets {
		current, ok := p.byID[t.conf.ID]
		if !ok {
			return nil
		}
		n.add(current)
	}
	return n
}

// close stops the wake timer and closes the idle connections of all targets.
func (p *pool) close() {
	p.mu.Lock()
	targets := append([]*target(nil), p.targets...)
	if p.wakeTimer != nil {
		p.wakeTimer.Stop()
	}
	p.mu.Unlock()
	for _, t := range targets {
		t.closeIdle()
	}
}
