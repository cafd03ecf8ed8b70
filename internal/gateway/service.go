package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"rhubarbwood.example/rhubarbwood/internal/discovery"
	"rhubarbwood.example/rhubarbwood/internal/policy"
	"rhubarbwood.example/rhubarbwood/internal/targetconn"
)

// service holds the targets of one service, the attempts in flight there and the budget of extra
// attempts.
type service struct {
	name string

	mu      sync.Mutex
	targets []*target
	byID    map[string]*target
	budget  *policy.Budget // of extra attempts: retries and hedges
	changed chan struct{}  // closed and replaced when a target or a connection slot becomes available
	waiting int            // requests waiting for a connection slot
	// ejectionOff is set if the Ejection mechanism is disabled.
	ejectionOff bool

	regions       regions
	checkPath     string // path of the health check; empty: unknown
	reportsLoad   bool   // a target has reported its load
	urgentRank    int    // lowest rank of the routes to the service
	coldLimit     coldLimit
	coldSendsFrom time.Time // no requests are sent to cold targets before
	// permitsValid reports whether this host may use its permits for cold targets. It takes no lock.
	permitsValid func() bool
	coldSignal   chan<- struct{}
	rollout      *serviceRollout // nil: versions are ignored; the pointer is constant after Start
}

// target is one incarnation (id and start time) of a target, as seen by this host.
type target struct {
	info discovery.Target // the registration
	// replaced is set once another incarnation has registered in the target's place.
	replaced  atomic.Bool
	preferred bool // exempt from nonPreferredCostFactor; see choosePreferred
	pool      *targetconn.Pool

	// The fields below are guarded by the service's lock.
	health   *policy.Outlier
	inFlight int
	draining bool // gets no new requests
	excluded bool // gets no ordinary requests because of its version
	// evacuated is set while nothing may be sent to the target's failure domain, or while the set
	// of evacuated domains is unknown. The target gets no new requests, and the results of those in
	// flight do not affect its health.
	evacuated bool
	// ejectedByDomain is the failure domain of the host that ejected the target.
	ejectedByDomain string
	// addressReused is set when another target answered at the address.
	addressReused bool
	// unreachable is set while the target refuses connections.
	unreachable bool
	cold        coldState
}

// apply replaces the targets of the service and the set of evacuated failure domains by those of a
// view. Requests in flight at a removed target are left to end by themselves.
func (s *service) apply(reg *serviceRegistry, list []discovery.Target, v discovery.View, urgentRank int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.urgentRank = urgentRank
	if v.Table != nil {
		conf, _ := v.Table.Service(s.name) // the zero Service has no limit
		s.coldLimit = reg.cfg.coldLimit(conf)
		s.checkPath = conf.HealthPath
	}
	previous := s.byID
	s.byID = map[string]*target{}
	s.targets = s.targets[:0:0]
	for _, conf := range list {
		t, ok := previous[conf.ID]
		if !ok || t.info.Address != conf.Address || t.info.StartMillis != conf.StartMillis || s.replacedInPlace(t, conf.Version) {
			t = reg.newTarget(conf)
			if ok {
				t.cold.inherit(previous[conf.ID])
			}
		}
		t.update(conf)
		t.evacuated = v.EvacuationsUnknown || v.Evacuated[conf.Domain]
		t.draining = conf.Draining || t.evacuated
		t.cold.apply(reg, conf, v, s.coldLimit, now)
		if s.cold(now, t) {
			s.signalCold(t)
		}
		s.byID[conf.ID] = t
		s.targets = append(s.targets, t)
	}
	for id, t := range previous {
		if successor := s.byID[id]; successor != t {
			t.retire(successor)
			s.noteRetired(t)
		}
	}
	s.observeVersions(reg, now)
	s.prefer(reg)
	s.wake()
}

// prefer marks the targets that this host prefers. The caller holds the lock.
func (s *service) prefer(reg *serviceRegistry) {
	if reg.cfg.disabled(PreferLocal) {
		s.preferAll()
		return
	}
	s.choosePreferred(reg.failureDomain, reg.hostID)
}

// update takes over what may change in the registration of a running target. The rest of info, which
// identifies the target, is read without the service's lock and must not be written again. The caller
// holds the lock.
func (t *target) update(conf discovery.Target) {
	t.info.Domain, t.info.Version, t.info.Slots = conf.Domain, conf.Version, conf.Slots
	t.info.Draining, t.info.Warmup, t.info.ColdUntil = conf.Draining, conf.Warmup, conf.ColdUntil
}

// retire closes the pool of a target whose registration was removed, or replaced by that of a
// successor. A removed target may still answer requests in flight; after a restart these are lost, so
// they are aborted. The caller holds the lock.
func (t *target) retire(successor *target) {
	t.draining = true
	t.pool.Close()
	if successor != nil && successor.info.StartMillis != t.info.StartMillis {
		t.replaced.Store(true)
		t.pool.AbortExchanges()
	}
}

// choosePreferred marks the targets that this host prefers: those in its failure domain or, where
// there is none or the domain is evacuated, the one with the highest hash of host and target id, so
// that such hosts spread over all targets. Targets whose version gets no requests don't count. The
// caller holds the lock.
func (s *service) choosePreferred(domain, host string) {
	var picked *target
	var highest uint64
	local := false
	for _, t := range s.targets {
		t.preferred = t.info.Domain == domain && !t.evacuated
		local = local || t.preferred && !t.excluded
		if h := xxhash.Sum64String(host + "/" + t.info.ID); !t.draining && !t.excluded && (picked == nil || h > highest) {
			picked, highest = t, h
		}
	}
	if !local && picked != nil {
		picked.preferred = true
	}
}

// preferAll marks every target as preferred. The caller holds the lock.
func (s *service) preferAll() {
	for _, t := range s.targets {
		t.preferred = true
	}
}

// setShare sets this host's share of the connections and of the retry budget by its weight.
func (s *service) setShare(reg *serviceRegistry, weight float64) {
	reg.mu.Lock()
	view := reg.view
	reg.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	limits := reg.connectionLimits(view, s.name, s.allowedTargets(), weight)
	s.budget.SetShare(reg.cfg.retryAllowance(), weight, reg.hostDraw(s.name))
	for _, t := range s.targets {
		if t.preferred {
			t.pool.SetLimit(min(limits.preferred, max(t.info.Slots, 1)))
			t.pool.SetMaxIdleTime(0)
			continue
		}
		t.pool.SetLimit(limits.other)
		t.pool.SetMaxIdleTime(limits.idleTimeout)
	}
}

// wake makes every request that waits for a connection slot check again. The caller holds the lock.
func (s *service) wake() {
	if s.waiting > 0 {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}
