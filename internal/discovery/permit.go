package discovery

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
)

// Permit names the hosts that may send to a target while it is cold, and how many requests each may
// send in any second. A target has at most one permit, which is stored and never changes, so that
// all hosts that have it agree. It belongs to the target's id rather than to an incarnation, so
// that no two hosts use different ones.
//
// A restored store may have lost a permit, and hosts without it may write another. A permit is
// therefore valid only in its era, and only on hosts that have read the registry in that era
// recently. A new one is written only after every other host has done so, or has stopped using its
// permits.
type Permit struct {
	Target string
	Hosts  []string
	Each   int    // requests in any second
	Era    uint64 // store era in which it was written
}

// LimitFor returns how many requests a host may send in any second.
func (p Permit) LimitFor(host string) int {
	for _, h := range p.Hosts {
		if h == host {
			return p.Each
		}
	}
	return 0
}

// permits is the cached permits, in the order in which they were received.
type permits struct {
	byTarget          map[string]Permit // shared with views, so every change replaces it
	lastNumber        uint64            // number of the newest permit
	ordered           []numberedPermit
	unregisteredSince map[string]time.Time // for the targets of permits that are not registered, since when
	reviewedAt        time.Time            // when unregisteredSince was last updated
}

type numberedPermit struct {
	number uint64
	permit Permit
}

const (
	// PermitRetention is how long a host keeps the permit of an unregistered target, which may return
	// under its id. The store keeps it longer, so that no other permit is written while a host uses
	// this one.
	PermitRetention = 30 * time.Minute
	// permitEraMargin is the time between the end of the validity of all older permits and the
	// first new one: requests sent under a permit count for a second.
	permitEraMargin = 1100 * time.Millisecond
	// permitReviewInterval is the time between two checks of which targets of permits are
	// registered.
	permitReviewInterval = time.Minute
)

// add adds a permit. It reports false if there is already one for its target, of the same era or a
// later one.
func (p *permits) add(permit Permit) bool {
	existing, ok := p.byTarget[permit.Target]
	if ok && existing.Era >= permit.Era {
		return false
	}
	if ok {
		p.ordered = slices.DeleteFunc(slices.Clone(p.ordered), func(n numberedPermit) bool { return n.permit.Target == permit.Target })
	}
	byTarget := maps.Clone(p.byTarget)
	if byTarget == nil {
		byTarget = map[string]Permit{}
	}
	byTarget[permit.Target] = permit
	p.byTarget = byTarget
	p.lastNumber++
	p.ordered = append(p.ordered, numberedPermit{p.lastNumber, permit})
	return true
}

// inEra returns the permits of an era.
func (p *permits) inEra(era uint64) map[string]Permit {
	if !slices.ContainsFunc(p.ordered, func(n numberedPermit) bool { return n.permit.Era != era }) {
		return p.byTarget
	}
	all := map[string]Permit{}
	for target, permit := range p.byTarget {
		if permit.Era == era {
			all[target] = permit
		}
	}
	return all
}

// dropUnregistered drops the permits of targets that have been unregistered for PermitRetention.
func (p *permits) dropUnregistered(now time.Time, targets map[string]Target) {
	if len(p.ordered) == 0 || now.Sub(p.reviewedAt) < permitReviewInterval {
		return
	}
	p.reviewedAt = now
	unregistered, remaining, byTarget := map[string]time.Time{}, p.ordered[:0:0], map[string]Permit{}
	for _, numbered := range p.ordered {
		id := numbered.permit.Target
		if _, isRegistered := targets[id]; !isRegistered {
			since, wasMissing := p.unregisteredSince[id]
			if !wasMissing {
				since = now
			}
			if now.Sub(since) >= PermitRetention {
				continue
			}
			unregistered[id] = since
		}
		remaining, byTarget[id] = append(remaining, numbered), numbered.permit
	}
	p.unregisteredSince, p.ordered, p.byTarget = unregistered, remaining, byTarget
}

// since returns the permits after a number.
func (p *permits) since(number uint64) []Permit {
	var all []Permit
	for _, numbered := range p.ordered {
		if numbered.number > number {
			all = append(all, numbered.permit)
		}
	}
	return all
}

// ApplyPermits adds permits that this host wrote to the store, read there or received from a peer.
func (s *State) ApplyPermits(all []Permit) {
	if len(all) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	isNew := false
	for _, permit := range all {
		isNew = s.permits.add(permit) || isNew
	}
	if isNew {
		s.notify()
	}
}

// PermitsValid reports whether this host has read the registry recently enough to use permits.
// After a longer time other hosts may lack them and write new ones.
func (s *State) PermitsValid() bool {
	asOf := s.registryAsOf.Load()
	return asOf != nil && s.clock.Since(*asOf) <= s.permitValidity
}

// PermitEra returns the era of the registry, and whether permits of that era may be written and
// used. They may once those of earlier eras have become invalid on all hosts.
func (s *State) PermitEra() (era uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registryEra, !s.eraFirstSeen.IsZero() && s.clock.Since(s.eraFirstSeen) >= s.permitValidity+permitEraMargin
}

// recordEra records when the era of the registry was first seen by this host or a peer. The caller
// holds the lock.
func (s *State) recordEra(era uint64, seen time.Time) {
	if s.eraFirstSeen.IsZero() || s.registryEra < era || s.registryEra == era && seen.Before(s.eraFirstSeen) {
		s.registryEra, s.eraFirstSeen = era, seen
	}
}

// TellPermits sends permits to the watching hosts. Those that miss them read them from the store.
func (s *Exchange) TellPermits(ctx context.Context, all []Permit) {
	in := &peerpb.Findings{Permits: encodePermits(all)}
	var calls sync.WaitGroup
	for _, w := range usableExcept(s.currentGroups().allWatchers(), s.members.Self().ID) {
		calls.Go(func() { _, _ = peerpb.NewDRPCDiscoveryClient(s.dialer.Conn(ctx, w.PeerAddress)).Tell(ctx, in) })
	}
	calls.Wait()
}

func encodePermits(all []Permit) []*peerpb.Permit {
	out := make([]*peerpb.Permit, 0, len(all))
	for _, p := range all {
		out = append(out, &peerpb.Permit{Target: p.Target, Hosts: p.Hosts, Each: uint32(p.Each), Era: p.Era})
	}
	return out
}

func decodePermits(in []*peerpb.Permit) []Permit {
	var all []Permit
	for _, p := range in {
		all = append(all, Permit{Target: p.Target, Hosts: p.Hosts, Each: int(p.Each), Era: p.Era})
	}
	return all
}
