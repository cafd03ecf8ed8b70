package rollout

import (
	"maps"
	"time"
)

// establishAfter is how long the orders must have been current, and none of them for a version,
// until a version that appeared later gets ordinary requests. Registrations may arrive before their
// order, by less than this.
const establishAfter = 5 * time.Second

// Observation is what a host knows about the versions of a service at one moment.
type Observation struct {
	Usable        map[string]bool // every registered version; true if it has a usable target
	OrdersCurrent bool            // the orders were confirmed by the store recently
	Plan          *Plan           // of the service's order; nil if there is none
}

// Versions tracks, for one service on one host, which versions may get ordinary requests: all
// requests but those that a Plan directs to the new version as its share. It is not safe for
// concurrent use.
type Versions struct {
	observed    bool
	established map[string]bool
	rolledBack  map[string]bool // until there is a new order for the version
	movedFrom   map[string]bool // by an order that succeeded; until there is a new order for the version
	// withoutOrder is since when the orders have been current and none was for the version, of
	// versions that are not established.
	withoutOrder map[string]time.Time
	last         *Plan // most recent plan, while its order is in force
	allowed      map[string]bool
	allowOthers  bool // versions that are not registered yet are allowed
}

// NewVersions returns a tracker that allows every version until Observe is called.
func NewVersions() *Versions {
	return &Versions{
		established:  map[string]bool{},
		rolledBack:   map[string]bool{},
		movedFrom:    map[string]bool{},
		withoutOrder: map[string]time.Time{},
		allowed:      map[string]bool{},
	}
}

// Allowed reports whether targets of a version may get ordinary requests.
func (v *Versions) Allowed(version string) bool {
	if !v.observed {
		return true
	}
	if allowed, registered := v.allowed[version]; registered {
		return allowed
	}
	return v.allowOthers
}

// Observe updates the tracker.
func (v *Versions) Observe(now time.Time, o Observation) {
	if !v.observed {
		if len(o.Usable) == 0 {
			return // the registry has no targets of the service yet
		}
		v.observed = true
		for version := range o.Usable {
			v.established[version] = true
		}
	}
	plan := v.follow(o)
	v.establish(now, o, plan)
	v.allow(o.Usable, plan)
}

// follow applies the plan of an observation, and the end of the order before, and returns the plan
// in force.
func (v *Versions) follow(o Observation) *Plan {
	before := v.last
	if o.Plan == nil && !o.OrdersCurrent {
		return before // the order may still be there
	}
	if before != nil && (o.Plan == nil || o.Plan.ID != before.ID) && before.Phase < PhaseRolledBack {
		// The order was withdrawn or replaced: it ends like one that was rolled back.
		v.exclude(before.ID.Version)
	}
	if o.Plan == nil {
		v.last = nil
		return nil
	}
	plan := *o.Plan
	version := plan.ID.Version
	if before == nil || before.ID != plan.ID {
		delete(v.rolledBack, version)
		delete(v.movedFrom, version)
	}
	if before != nil && before.ID == plan.ID && before.Phase >= PhaseMoving {
		plan.Phase = max(plan.Phase, before.Phase) // phases don't go back
	}
	switch plan.Phase {
	case PhaseRolledBack:
		v.exclude(version)
	case PhaseSucceeded:
		v.succeed(o, before, plan)
	default:
		delete(v.established, version)
	}
	v.last = &plan
	return &plan
}

// exclude marks a version as rolled back.
func (v *Versions) exclude(version string) {
	v.rolledBack[version] = true
	delete(v.established, version)
}

// succeed establishes the version of an order that has succeeded, in place of all others. Versions
// that appear after that are not among those that the order moved away from.
func (v *Versions) succeed(o Observation, before *Plan, plan Plan) {
	if before != nil && before.ID == plan.ID && before.Phase == PhaseSucceeded {
		return
	}
	for other := range o.Usable {
		v.movedFrom[other] = true
	}
	for other := range v.established {
		v.movedFrom[other] = true
	}
	delete(v.movedFrom, plan.ID.Version)
	clear(v.established)
	v.established[plan.ID.Version] = true
}

// establish applies the rule for versions that appeared without an order.
func (v *Versions) establish(now time.Time, o Observation, plan *Plan) {
	maps.DeleteFunc(v.withoutOrder, func(version string, _ time.Time) bool {
		_, registered := o.Usable[version]
		return !registered
	})
	for version := range o.Usable {
		ordered := plan != nil && plan.ID.Version == version
		if v.established[version] || v.rolledBack[version] || v.movedFrom[version] || ordered || !o.OrdersCurrent {
			delete(v.withoutOrder, version)
			continue
		}
		since, known := v.withoutOrder[version]
		if !known {
			v.withoutOrder[version] = now
			continue
		}
		if now.Sub(since) >= establishAfter {
			v.established[version] = true
			delete(v.withoutOrder, version)
		}
	}
}

// rank is how much a version is to be preferred; the smallest rank with a usable target is used.
func (v *Versions) rank(version string, plan *Plan) int {
	const (
		preferred = iota
		appeared
		movedFrom
		rolledBack
		ordered
	)
	if plan != nil && plan.ID.Version == version {
		switch plan.Phase {
		case PhaseWaiting, PhaseCanary:
			return ordered
		case PhaseMoving, PhaseSucceeded:
			return preferred
		}
	}
	switch {
	case v.rolledBack[version]:
		return rolledBack
	case v.movedFrom[version]:
		return movedFrom
	case v.established[version] && (plan == nil || plan.Phase != PhaseMoving):
		return preferred
	}
	return appeared
}

// allow decides for each registered version whether it is allowed: all up to the first rank that
// has a usable target.
func (v *Versions) allow(usable map[string]bool, plan *Plan) {
	clear(v.allowed)
	const none = int(^uint(0) >> 1)
	best, onlyOrdered := none, true
	for version, ok := range usable {
		if plan == nil || plan.ID.Version != version || plan.Phase >= PhaseMoving {
			onlyOrdered = false
			if ok {
				best = min(best, v.rank(version, plan))
			}
		}
	}
	for version := range usable {
		inTrial := plan != nil && plan.ID.Version == version && plan.Phase < PhaseMoving
		// While an order is on trial, its version gets more than its share only if no other version
		// is registered: targets that are unusable for a moment must not move all requests to it.
		v.allowed[version] = (inTrial && onlyOrdered) || (!inTrial && v.rank(version, plan) <= best)
	}
	v.allowOthers = best > 0
}
