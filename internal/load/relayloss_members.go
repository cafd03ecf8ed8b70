package load

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/member"
)

// Delays of membership changes at 9 hosts, measured in
// docs/design/membership.md.
const (
	minDeathDetectionDelay = 4000 * time.Millisecond
	maxDeathDetectionDelay = 5500 * time.Millisecond
	suspectDuration        = 3300 * time.Millisecond // from suspicion to the declaration of death
	minAnnouncementDelay   = 500 * time.Millisecond  // of a host that joins or leaves, to other hosts
	maxAnnouncementDelay   = 1000 * time.Millisecond
)

var _ member.View = (*delayedMembers)(nil)

// delayedMembers is the membership view of one host, in which each change
// becomes visible at a scheduled time. It is safe for concurrent use.
type delayedMembers struct {
	self string

	mu         sync.Mutex
	hosts      []member.Host // sorted by id; replaced on a change, never modified
	pending    []memberChange
	generation uint64
}

// memberChange is a change that becomes visible at a time. The state Dead
// removes the host from the list.
type memberChange struct {
	at   time.Time
	host member.Host
}

func newDelayedMembers(self string, hosts []member.Host) *delayedMembers {
	return &delayedMembers{self: self, hosts: sortedHosts(hosts), generation: 1}
}

func sortedHosts(hosts []member.Host) []member.Host {
	sorted := slices.Clone(hosts)
	slices.SortFunc(sorted, func(a, b member.Host) int { return cmp.Compare(a.ID, b.ID) })
	return sorted
}

// Self implements member.View.
func (m *delayedMembers) Self() member.Host {
	for _, h := range m.Hosts() {
		if h.ID == m.self {
			return h
		}
	}
	return member.Host{ID: m.self, State: member.Dead}
}

// Hosts implements member.View.
func (m *delayedMembers) Hosts() []member.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.apply(time.Now())
	return m.hosts
}

// Count implements member.View.
func (m *delayedMembers) Count() int { return len(m.Hosts()) }

// Generation implements member.View.
func (m *delayedMembers) Generation() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.apply(time.Now())
	return m.generation
}

func (m *delayedMembers) apply(now time.Time) {
	for len(m.pending) > 0 && !m.pending[0].at.After(now) {
		h := m.pending[0].host
		m.pending = m.pending[1:]
		hosts := slices.DeleteFunc(slices.Clone(m.hosts), func(o member.Host) bool { return o.ID == h.ID })
		if h.State != member.Dead {
			hosts = append(hosts, h)
		}
		m.hosts = sortedHosts(hosts)
		m.generation++
	}
}

// schedule makes a change visible from the given time on.
func (m *delayedMembers) schedule(at time.Time, h member.Host, state member.State) {
	h.State = state
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pending = append(m.pending, memberChange{at, h})
	slices.SortStableFunc(m.pending, func(a, b memberChange) int { return a.at.Compare(b.at) })
}

// scheduleDeath schedules the detection of a host that died now: first the state
// Suspect, then Dead.
func (m *delayedMembers) scheduleDeath(rng *rand.Rand, h member.Host) {
	detected := time.Now().Add(randomDuration(rng, minDeathDetectionDelay, maxDeathDetectionDelay))
	m.schedule(detected.Add(-suspectDuration), h, member.Suspect)
	m.schedule(detected, h, member.Dead)
}

// scheduleAnnouncement schedules the state that another host announces now.
func (m *delayedMembers) scheduleAnnouncement(rng *rand.Rand, h member.Host, state member.State) {
	m.schedule(time.Now().Add(randomDuration(rng, minAnnouncementDelay, maxAnnouncementDelay)), h, state)
}

func randomDuration(rng *rand.Rand, lower, upper time.Duration) time.Duration {
	return lower + time.Duration(rng.Int64N(int64(upper-lower)))
}
