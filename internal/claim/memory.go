package claim

import (
	"sync"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/query"
)

// attempt is the state of one of this host's own attempts. It is added before
// the record that names it is written. A host that is queried about an attempt
// in a record therefore has its state, unless it restarted or evicted it.
type attempt struct {
	id          string
	reservation string // reservation id
	rec         Record
	ended       chan struct{} // closed once reply is final
	notRun      bool          // valid once ended: the attempt did not run and never will
	reply       query.Reservation
	endedAt     time.Time
}

// flight is one run of a reservation on this host. Repeats that arrive
// meanwhile join it.
type flight struct {
	req   query.ReserveRequest
	ended chan struct{}
	res   query.Reservation // valid once ended
}

// memory holds the flights and attempts of this host. Evictable attempts are
// limited in number and age.
type memory struct {
	retention    time.Duration
	maxEvictable int
	mu           sync.Mutex
	flights      map[string]*flight  // by reservation id
	attempts     map[string]*attempt // by attempt id
	maybeRan     map[string]*attempt // by reservation id: the newest attempt that was sent and may have run
	evictable    []*attempt          // ended, and recorded or given up; in the order in which they became evictable
}

func newMemory(retention time.Duration, maxEvictable int) *memory {
	return &memory{
		retention: retention, maxEvictable: maxEvictable,
		flights: map[string]*flight{}, attempts: map[string]*attempt{}, maybeRan: map[string]*attempt{},
	}
}

// join returns the flight of the reservation. If isNew is true the flight was
// created by this call, and the caller must run it.
func (m *memory) join(reservation string, r query.ReserveRequest) (f *flight, isNew bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if f, ok := m.flights[reservation]; ok {
		return f, false
	}
	f = &flight{req: r, ended: make(chan struct{})}
	m.flights[reservation] = f
	return f, true
}

// finish ends the flight with its result.
func (m *memory) finish(reservation string, f *flight, res query.Reservation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f.res = res
	delete(m.flights, reservation)
	close(f.ended)
}

// add adds an attempt that has not been sent.
func (m *memory) add(reservation string, rec Record) *attempt {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := &attempt{id: rec.Attempt, reservation: reservation, rec: rec, ended: make(chan struct{})}
	m.attempts[a.id] = a
	return a
}

// markSent records that the attempt is about to be sent.
func (m *memory) markSent(a *attempt) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.maybeRan[a.reservation] = a
}

// markEnded stores the final result of the attempt.
func (m *memory) markEnded(a *attempt, reply query.Reservation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	a.reply, a.notRun, a.endedAt = reply, reply.Outcome.NotRun(), time.Now()
	if a.notRun && m.maybeRan[a.reservation] == a {
		delete(m.maybeRan, a.reservation)
	}
	close(a.ended)
}

// markEvictable makes an ended attempt evictable: its end is in the record, or
// writing it was abandoned.
func (m *memory) markEvictable(a *attempt) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.evictable = append(m.evictable, a)
	for len(m.evictable) > 0 && (len(m.evictable) > m.maxEvictable || time.Since(m.evictable[0].endedAt) > m.retention) {
		m.evict(m.evictable[0])
		m.evictable = m.evictable[1:]
	}
}

// evict removes the attempt. The caller holds mu.
func (m *memory) evict(a *attempt) {
	delete(m.attempts, a.id)
	if m.maybeRan[a.reservation] == a {
		delete(m.maybeRan, a.reservation)
	}
}

// find returns the attempt, or nil if this host does not have it.
func (m *memory) find(id string) *attempt {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.attempts[id]
}

// lastSent returns the newest attempt of the reservation that this host sent
// and that may have run, or nil.
func (m *memory) lastSent(reservation string) *attempt {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.maybeRan[reservation]
}

// hasEnded reports whether the attempt's reply is final.
func (a *attempt) hasEnded() bool {
	select {
	case <-a.ended:
		return true
	default:
		return false
	}
}
