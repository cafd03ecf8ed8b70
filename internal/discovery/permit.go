package discovery

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
)

// Permit tells which hosts may send to a target while it is cold, and how many requests each in any second. A
// target has one permit at most, which never changes: it lies in the store, and whoever finds it there or hears of
// it holds the same. It is that of the id, not of an incarnation, so that no two hosts go by different ones.
//
// A store that comes back from an older copy may have lost it, and hosts that do not know it may write another. So it counts
// only in its era, on hosts that have recently read the registry in that era, and none is written before every other host has
// done so, or has ceased to go by its permits.
type Permit struct {
	Target string
	Hosts  []string
	Each   int    // requests in any second
	Era    uint64 // of the store in which it stands
}

// Of returns how many requests a host may send in any second.
func (p Permit) Of(host string) int {
	for _, h := range p.Hosts {
		if h == host {
			return p.Each
		}
	}
	return 0
}

// permits are those that the host knows, in the order in which it learned of them.
type permits struct {
	byTarget map[string]Permit // replaced with each change, as views hold it
	next     uint64            // number of the newest one
	ordered  []numberedPermit
	missing  map[string]time.Time // targets of permits that are not registered, and since when
	lookedAt time.Time            // when that was last looked at
}

type numberedPermit struct {
	number uint64
	permit Permit
}

const (
	// KeepPermits is for how long a host keeps the permit of a target that is not registered: it may come back
	// under its id. The store keeps it longer, so that no other is written while a host goes by this one.
	KeepPermits = 30 * time.Minute
	// afterPermits is the time from which on a new permit may be written after all older ones have ceased to count: what was sent
	// by them counts for a second.
	afterPermits = 1100 * time.Millisecond
	// reviewPermits is the time between two looks at which targets are registered.
	reviewPermits = time.Minute
)

// add takes a permit. It reports false if one for its target is known, of its era or a later one.
func (p *permits) add(one Permit) bool {
	known, ok := p.byTarget[one.Target]
	if ok && known.Era >= one.Era {
		return false
	}
	if ok {
		p.ordered = slices.DeleteFunc(slices.Clone(p.ordered), func(n numberedPermit) bool { return n.permit.Target == one.Target })
	}
	byTarget := maps.Clone(p.byTarget)
	if byTarget == nil {
		byTarget = map[string]Permit{}
	}
	byTarget[one.Target] = one
	p.byTarget = byTarget
	p.next++
	p.ordered = append(p.ordered, numberedPermit{p.next, one})
	return true
}

// of returns those that stand in an era.
func (p *permits) of(era uint64) map[string]Permit {
	if !slices.ContainsFunc(p.ordered, func(n numberedPermit) bool { return n.permit.Era != era }) {
		return p.byTarget
	}
	all := map[string]Permit{}
	for target, one := range p.byTarget {
		if one.Era == era {
			all[target] = one
		}
	}
	return all
}

// forget drops the permits of targets that have not been registered for long.
func (p *permits) forget(now time.Time, targets map[string]Target) {
	if len(p.ordered) == 0 || now.Sub(p.lookedAt) < reviewPermits {
		return
	}
	p.lookedAt = now
	missing, kept, byTarget := map[string]time.Time{}, p.ordered[:0:0], map[string]Permit{}
	for _, one := range p.ordered {
		id := one.permit.Target
		if _, there := targets[id]; !there {
			since, known := p.missing[id]
			if !known {
				since = now
			}
			if now.Sub(since) >= KeepPermits {
				continue
			}
			missing[id] = since
		}
		kept, byTarget[id] = append(kept, one), one.permit
	}
	p.missing, p.ordered, p.byTarget = missing, kept, byTarget
}

// since returns the permits after a number.
func (p *permits) since(number uint64) []Permit {
	var all []Permit
	for _, one := range p.ordered {
		if one.number > number {
			all = append(all, one.permit)
		}
	}
	return all
}

// ApplyPermits takes permits that this host wrote to the store, found there or heard of.
func (s *State) ApplyPermits(all []Permit) {
	if len(all) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	news := false
	for _, one := range all {
		news = s.permits.add(one) || news
	}
	if news {
		s.tell()
	}
}

// PermitsCount reports whether this host has read the registry recently enough to go by permits: any other host may not
// know them, and may write new ones.
func (s *State) PermitsCount() bool {
	asOf := s.registryAsOf.Load()
	return asOf != nil && s.clock.Since(*asOf) <= s.permitsFor
}

// MayPermit returns the era of the registry, and whether permits that stand in it may be used: those of earlier eras count
// nowhere any more.
func (s *State) MayPermit() (era uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seenEra, !s.eraSeen.IsZero() && s.clock.Since(s.eraSeen) >= s.permitsFor+afterPermits
}

// noteEra notes when the era of the registry was first seen, by this host or a peer. The caller holds the lock.
func (s *State) noteEra(era uint64, seen time.Time) {
	if s.eraSeen.IsZero() || s.seenEra < era || s.seenEra == era && seen.Before(s.eraSeen) {
		s.seenEra, s.eraSeen = era, seen
	}
}

// TellPermits tells permits to the hosts that others follow. One that misses them finds them in the store.
func (s *Spread) TellPermits(ctx context.Context, all []Permit) {
	in := &peerpb.Findings{Permits: writePermits(all)}
	var calls sync.WaitGroup
	for _, w := range except(s.divided().allWatchers(), s.members.Self().ID) {
		calls.Go(func() { _, _ = peerpb.NewDRPCDiscoveryClient(s.dialer.Conn(ctx, w.Peer)).Tell(ctx, in) })
	}
	calls.Wait()
}

func writePermits(all []Permit) []*peerpb.Permit {
	out := make([]*peerpb.Permit, 0, len(all))
	for _, p := range all {
		out = append(out, &peerpb.Permit{Target: p.Target, Hosts: p.Hosts, Each: uint32(p.Each), Era: p.Era})
	}
	return out
}

func readPermits(in []*peerpb.Permit) []Permit {
	var all []Permit
	for _, p := range in {
		all = append(all, Permit{Target: p.Target, Hosts: p.Hosts, Each: int(p.Each), Era: p.Era})
	}
	return all
}
