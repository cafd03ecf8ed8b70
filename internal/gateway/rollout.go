package gateway

import (
	"reflect"
	"slices"
	"sync/atomic"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/rollout"
)

// EnableRollouts makes the gateway distinguish the versions of a service's targets and follow the
// plans of rollout orders. It must be called before Start. Without it versions are ignored.
func (g *Gateway) EnableRollouts() { g.registry.enableRollouts() }

// ApplyRollouts sets the plans of all services that have a rollout order; a service without a plan
// has no order. ordersCurrent reports whether this host's orders are known to be current. It is
// meant to be called several times a second.
func (g *Gateway) ApplyRollouts(plans []rollout.Plan, ordersCurrent bool) {
	g.registry.applyRollouts(plans, ordersCurrent)
}

// RolloutEvidence returns the results of the attempts at the targets of an order's service, as
// totals since its plan was first applied, and the number of attempts in flight at targets of other
// versions. The counts are sorted by route and target.
func (g *Gateway) RolloutEvidence(id rollout.ID) rollout.Evidence {
	s := g.registry.knownService(id.Service)
	if s == nil {
		return rollout.Evidence{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rollout == nil {
		return rollout.Evidence{}
	}
	e := rollout.Evidence{OldInFlight: s.inFlightAtOthers(id.Version)}
	if results := s.rollout.results; results != nil && results.id == id {
		e.Counts = results.counts()
	}
	return e
}

// RolloutTargets returns the ids of the usable targets of an order's version, and the slots of the
// usable targets of other versions and of the order's version. A target is usable if it is
// registered, neither draining nor evacuated, and no other target has answered at its address.
func (g *Gateway) RolloutTargets(id rollout.ID) (usable []string, oldSlots, newSlots int) {
	s := g.registry.knownService(id.Service)
	if s == nil {
		return nil, 0, 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.targets {
		switch slots := max(t.info.Slots, 1); {
		case !t.usable():
		case t.info.Version == id.Version:
			usable, newSlots = append(usable, t.info.ID), newSlots+slots
		default:
			oldSlots += slots
		}
	}
	return usable, oldSlots, newSlots
}

// rolloutOrders is what the registry knows of the rollout orders of all services. It is guarded by
// the registry's lock.
type rolloutOrders struct {
	enabled bool
	applied bool            // plans were applied at least once
	current bool            // the host's orders are known to be current
	planned map[string]bool // services with a plan
}

// serviceRollout is which versions of a service's targets get requests, and what the attempts at
// them have shown. It is guarded by the service's lock, except for plan.
type serviceRollout struct {
	versions      *rollout.Versions
	ordersCurrent bool
	// plan is the plan of the service's order, nil if it has none. A stored plan is not modified.
	plan    atomic.Pointer[rollout.Plan]
	results *rolloutResults // of the latest order; nil: there was none
	// retired is the targets that are no longer registered and may have attempts in flight.
	retired []*target
}

func newServiceRollout(ordersCurrent bool) *serviceRollout {
	return &serviceRollout{versions: rollout.NewVersions(), ordersCurrent: ordersCurrent}
}

func (reg *serviceRegistry) enableRollouts() {
	reg.mu.Lock()
	reg.orders = rolloutOrders{enabled: true, planned: map[string]bool{}}
	reg.mu.Unlock()
	for _, s := range reg.allServices() {
		s.mu.Lock()
		s.rollout = newServiceRollout(false)
		s.mu.Unlock()
	}
}

// awaitsPlans reports whether rollouts are enabled and no plans were applied yet. All versions that a
// starting host finds get requests until it knows the plans.
func (reg *serviceRegistry) awaitsPlans() bool {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	return reg.orders.enabled && !reg.orders.applied
}

// knownService returns a service, nil if none of that name is known.
func (reg *serviceRegistry) knownService(name string) *service {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	return reg.services[name]
}

func (reg *serviceRegistry) applyRollouts(plans []rollout.Plan, ordersCurrent bool) {
	byService := make(map[string]*rollout.Plan, len(plans))
	for i := range plans {
		byService[plans[i].ID.Service] = &plans[i]
	}
	reg.mu.Lock()
	if !reg.orders.enabled {
		reg.mu.Unlock()
		return
	}
	changed := map[string]bool{} // services to which the call may matter
	if ordersCurrent != reg.orders.current {
		for name := range reg.services {
			changed[name] = true
		}
	}
	for name := range reg.orders.planned {
		changed[name] = true
	}
	reg.orders.current, reg.orders.applied = ordersCurrent, true
	clear(reg.orders.planned)
	for name := range byService {
		changed[name], reg.orders.planned[name] = true, true
	}
	reg.mu.Unlock()
	for name := range changed {
		s := reg.service(name)
		if s.applyPlan(reg, byService[name], ordersCurrent) {
			reg.versionsChanged(s)
		}
	}
}

// observeVersions updates the versions of all services, as the decision which of them get requests
// depends on time.
func (reg *serviceRegistry) observeVersions(now time.Time) {
	reg.mu.Lock()
	enabled := reg.orders.enabled
	reg.mu.Unlock()
	if !enabled {
		return
	}
	for _, s := range reg.allServices() {
		s.mu.Lock()
		changed := s.observeVersions(reg, now)
		s.mu.Unlock()
		if changed {
			reg.versionsChanged(s)
		}
	}
}

// versionsChanged divides a service's connections again, and lets the gatherers of queries be chosen
// again, after the targets that get requests have changed.
func (reg *serviceRegistry) versionsChanged(s *service) {
	reg.generation.Add(1)
	reg.distribute([]*service{s})
}

// applyPlan sets the plan of the service; nil: it has no order. It reports whether the targets that
// get requests have changed.
func (s *service) applyPlan(reg *serviceRegistry, plan *rollout.Plan, ordersCurrent bool) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ro := s.rollout
	if ro.ordersCurrent == ordersCurrent && samePlan(ro.plan.Load(), plan) {
		return false
	}
	ro.ordersCurrent = ordersCurrent
	if plan != nil {
		own := *plan
		own.OnTrial = slices.Clone(plan.OnTrial)
		plan = &own
		if ro.results == nil || ro.results.id != plan.ID {
			ro.results = newRolloutResults(plan.ID)
		}
	}
	ro.plan.Store(plan)
	return s.observeVersions(reg, time.Now())
}

// samePlan reports whether two plans are equal.
func samePlan(a, b *rollout.Plan) bool {
	return a == b || a != nil && b != nil && reflect.DeepEqual(a, b)
}

// observeVersions decides which versions get requests, and reports whether that has changed for a
// target. The caller holds the lock.
func (s *service) observeVersions(reg *serviceRegistry, now time.Time) (changed bool) {
	ro := s.rollout
	if ro == nil {
		return false
	}
	usable := map[string]bool{}
	for _, t := range s.targets {
		usable[t.info.Version] = usable[t.info.Version] || t.usable()
	}
	ro.versions.Observe(now, rollout.Observation{Usable: usable, OrdersCurrent: ro.ordersCurrent, Plan: ro.plan.Load()})
	for _, t := range s.targets {
		excluded := !ro.versions.Allowed(t.info.Version)
		changed = changed || excluded != t.excluded
		t.excluded = excluded
	}
	if changed {
		s.prefer(reg)
		s.wake() // requests that wait for targets of one version may go to another now
	}
	return changed
}

// usable reports whether the target may get requests, whatever its version. The caller holds the
// lock of its service.
func (t *target) usable() bool { return !t.draining && !t.addressReused }

// allowedTargets returns the number of targets whose version gets requests. During a rollout a
// service has the targets of two versions, which must not double its connections or its queue. The
// caller holds the lock.
func (s *service) allowedTargets() int {
	n := 0
	for _, t := range s.targets {
		if !t.excluded {
			n++
		}
	}
	return n
}

// noteRetired keeps a target that is no longer registered while it has attempts in flight. The
// caller holds the lock.
func (s *service) noteRetired(t *target) {
	if s.rollout == nil {
		return
	}
	s.rollout.retired = slices.DeleteFunc(s.rollout.retired, func(t *target) bool { return t.inFlight == 0 })
	if t.inFlight > 0 {
		s.rollout.retired = append(s.rollout.retired, t)
	}
}

// inFlightAtOthers returns the number of attempts with a reserved connection slot at targets of other
// versions, including those that are no longer registered. The caller holds the lock.
func (s *service) inFlightAtOthers(version string) int {
	n := 0
	for _, list := range [][]*target{s.targets, s.rollout.retired} {
		for _, t := range list {
			if t.info.Version != version {
				n += t.inFlight
			}
		}
	}
	return n
}

// replacedInPlace reports whether a registration is of another process than the target that has the
// same id. A process has one version; a start is not always reported otherwise.
func (s *service) replacedInPlace(t *target, version string) bool {
	return s.rollout != nil && t.info.Version != version
}
