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

// service is the targets of one service, the attempts in flight there, and
// the budget of further attempts.
type service struct {
	name string

	mu      sync.Mutex
	targets []*target
	byID    map[string]*target
	budget  *policy.Budget
	changed chan struct{} // closes when a target or a place comes free
	waiting int           // requests that wait for a place
	// ejectionOff is set where SetAside is switched off.
	ejectionOff bool

	regions       regions
	checkPath     string // path of the health check; empty: not known
	reportsLoad   bool   // a target has told its load
	urgentRank    int    // the lowest of the routes to the service
	coldLimit     coldLimit
	coldSendsFrom time.Time // until then nothing is sent to cold targets
	// permitsValid reports whether this host may go by its permits. It takes no lock.
	permitsValid func() bool
	coldSignal   chan<- struct{}
}

// target is one incarnation of a target as this host sees it.
type target struct {
	conf discovery.Target
	// replaced is set once another incarnation has taken the target's place.
	replaced  atomic.Bool
	preferred bool // asked first; see chooseHomes
	pool      *targetconn.Pool

	// Guarded by the service's lock.
	health   *policy.Outlier
	inFlight int
	draining bool // gets no new work
	// evacuated is set while nothing may be sent to the target's failure domain, or while it is not
	// known which those are. The target gets no new work, and is not judged by what it had.
	evacuated bool
	// ejectedByDomain is the failure domain of the host that set the target aside.
	ejectedByDomain string
	// addressReused is set when another target answered at the address.
	addressReused bool
	// unreachable is set while the target takes no connection.
	unreachable bool
	cold        coldState
}

// apply takes over the targets of the service, and which failure domains of a view are
// evacuated. Requests in flight at a target that is gone end as they may.
func (s *service) apply(f *serviceRegistry, list []discovery.Target, v discovery.View, urgentRank int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.urgentRank = urgentRank
	if v.Table != nil {
		conf, _ := v.Table.Service(s.name) // the zero Service has no bound
		s.coldLimit = f.cfg.coldLimit(conf)
		s.checkPath = conf.HealthPath
	}
	known := s.byID
	s.byID = map[string]*target{}
	s.targets = s.targets[:0:0]
	for _, conf := range list {
		t, ok := known[conf.ID]
		if !ok || t.conf.Address != conf.Address || t.conf.Born != conf.Born {
			t = f.newTarget(conf)
			if ok {
				t.cold.inherit(known[conf.ID])
			}
		}
		t.conf = conf
		t.evacuated = v.EvacuationsUnknown || v.Evacuated[conf.Domain]
		t.draining = conf.Draining || t.evacuated
		t.cold.apply(f, conf, v, s.coldLimit, now)
		if s.cold(now, t) {
			s.signalCold(t)
		}
		s.byID[conf.ID] = t
		s.targets = append(s.targets, t)
	}
	for id, t := range known {
		if now := s.byID[id]; now != t {
			t.retire(now)
		}
	}
	if f.cfg.disabled(PreferLocal) {
		s.preferAll()
	} else {
		s.choosePreferred(f.failureDomain, f.hostID)
	}
	s.wake()
}

// retire ends the use of a target whose registration is gone or is that of another incarnation
// now. A target that is gone may still answer what it has; with one that has started again all that
// was in flight has ended. The caller holds the lock.
func (t *target) retire(now *target) {
	t.draining = true
	t.pool.Close()
	if now != nil && now.conf.Born != t.conf.Born {
		t.replaced.Store(true)
		t.pool.Abort()
	}
}

// choosePreferred marks the targets that this host asks first: those in its failure
// domain, or, where there is none or they are evacuated, the one that its id picks, so that
// the hosts of such a domain spread over all targets. The caller holds the lock.
func (s *service) choosePreferred(domain, host string) {
	var picked *target
	var highest uint64
	local := false
	for _, t := range s.targets {
		t.preferred = t.conf.Domain == domain && !t.evacuated
		local = local || t.preferred
		if h := xxhash.Sum64String(host + "/" + t.conf.ID); !t.draining && (picked == nil || h > highest) {
			picked, highest = t, h
		}
	}
	if !local && picked != nil {
		picked.preferred = true
	}
}

// preferAll lets every target be asked first. The caller holds the lock.
func (s *service) preferAll() {
	for _, t := range s.targets {
		t.preferred = true
	}
}

// resize gives this host its part, by its weight, of connections and budget.
func (s *service) resize(f *serviceRegistry, weight float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	share := f.connectionLimits(f.view, s.name, len(s.targets), weight)
	s.budget.SetShare(f.cfg.retryAllowance(), weight, f.hostDraw(s.name))
	for _, t := range s.targets {
		if t.preferred {
			t.pool.SetLimit(min(share.preferred, max(t.conf.Slots, 1)))
			t.pool.SetKeep(0)
			continue
		}
		t.pool.SetLimit(share.other)
		t.pool.SetKeep(share.idleTimeout)
	}
}

// wake lets every request that waits for a place look again. The caller holds
// the lock.
func (s *service) wake() {
	if s.waiting > 0 {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}
