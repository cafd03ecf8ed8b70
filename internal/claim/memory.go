package claim

import (
	"sync"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/query"
)

// attempt is what this host knows of one of its own attempts. It is known
// before the record that names it is written, so that a host asked about a
// record always knows the attempt, unless it was started anew or has forgotten.
type attempt struct {
	id      string
	key     string // id of the reservation
	rec     Record
	ended   chan struct{} // closed once reply is final
	notRun  bool          // valid once ended: it did not run and never will
	reply   query.Reservation
	endedAt time.Time
}

// flight is one run of a reservation on this host; repeats join it.
type flight struct {
	req   query.Reserve
	ended chan struct{}
	res   query.Reservation // valid once ended
}

// memory holds the flights and attempts of this host. Attempts that may be
// forgotten are bounded in number and age.
type memory struct {
	keep        time.Duration
	max         int
	mu          sync.Mutex
	flights     map[string]*flight  // by reservation
	attempts    map[string]*attempt // by attempt
	maybeRan    map[string]*attempt // by reservation: the newest one sent and not known as not run
	forgettable []*attempt          // ended and recorded, oldest first
}

func newMemory(keep time.Duration, max int) *memory {
	return &memory{
		keep: keep, max: max,
		flights: map[string]*flight{}, attempts: map[string]*attempt{}, maybeRan: map[string]*attempt{},
	}
}

// join returns the flight of the reservation, and whether it is a new one,
// which the caller must run.
func (m *memory) join(key string, r query.Reserve) (f *flight, isNew bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if f, ok := m.flights[key]; ok {
		return f, false
	}
	f = &flight{req: r, ended: make(chan struct{})}
	m.flights[key] = f
	return f, true
}

// finish ends the flight with its result.
func (m *memory) finish(key string, f *flight, res query.Reservation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f.res = res
	delete(m.flights, key)
	close(f.ended)
}

// begin adds an attempt that has not been sent.
func (m *memory) begin(key string, rec Record) *attempt {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := &attempt{id: rec.Attempt, key: key, rec: rec, ended: make(chan struct{})}
	m.attempts[a.id] = a
	return a
}

// sent notes that the attempt is about to be sent.
func (m *memory) sent(a *attempt) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.maybeRan[a.key] = a
}

// end notes the attempt's final result.
func (m *memory) end(a *attempt, reply query.Reservation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	a.reply, a.notRun, a.endedAt = reply, reply.Outcome.NotRun(), time.Now()
	if a.notRun && m.maybeRan[a.key] == a {
		delete(m.maybeRan, a.key)
	}
	close(a.ended)
}

// recorded notes that the attempt's end is in its record, or that writing it
// was given up; from now on the attempt may be forgotten.
func (m *memory) recorded(a *attempt) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.forgettable = append(m.forgettable, a)
	for len(m.forgettable) > 0 && (len(m.forgettable) > m.max || time.Since(m.forgettable[0].endedAt) > m.keep) {
		m.forget(m.forgettable[0])
		m.forgettable = m.forgettable[1:]
	}
}

// forget drops the attempt; mu is held.
func (m *memory) forget(a *attempt) {
	delete(m.attempts, a.id)
	if m.maybeRan[a.key] == a {
		delete(m.maybeRan, a.key)
	}
}

// find returns the attempt, nil if it is not known here.
func (m *memory) find(id string) *attempt {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.attempts[id]
}

// lastSent returns the newest attempt of the reservation that was sent from
// here and may have run, nil if there is none.
func (m *memory) lastSent(key string) *attempt {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.maybeRan[key]
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
