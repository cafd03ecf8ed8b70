package claim

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/time/rate"
	"pgregory.net/rapid"

	"rhubarbwood.example/rhubarbwood/internal/objstore/objstoretest"
	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

// observation is the result of one request. lost is set if its host was killed
// before it returned.
type observation struct {
	req  query.ReserveRequest
	res  query.Reservation
	lost bool
}

// machine runs hosts, faults and callers in random order and records the
// history.
type machine struct {
	*fleet
	ids      []string
	copies   []objstoretest.Backup
	restored bool
	mu       sync.Mutex
	observed []observation
}

func (m *machine) addObservation(o observation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observed = append(m.observed, o)
}

func (m *machine) drawHost(t *rapid.T) *host {
	return m.hosts[rapid.IntRange(0, len(m.hosts)-1).Draw(t, "host")]
}

// reserve sends a first or repeated request without waiting for its result. The
// longest budget simulates a host whose monotonic clock stops during a
// suspension.
func (m *machine) reserve(t *rapid.T) {
	h := m.drawHost(t)
	if h.isDead() {
		t.Skip("dead host")
	}
	r := reservation(rapid.SampledFrom(m.ids).Draw(t, "id"))
	r.Budget = rapid.SampledFrom([]time.Duration{50 * time.Millisecond, time.Second, 10 * removeAfter}).Draw(t, "budget")
	go func() {
		res := h.reserve(r)
		m.addObservation(observation{req: r, res: res, lost: h.isDead()})
	}()
	synctest.Wait()
}

func (m *machine) kill(t *rapid.T) {
	h := m.drawHost(t)
	if h.isDead() || len(m.hosts) > 5 {
		t.Skip("dead or too many hosts")
	}
	h.kill()
	m.add()
	synctest.Wait()
}

func (m *machine) freeze(t *rapid.T) {
	h := m.drawHost(t)
	g := &h.gate
	if rapid.Bool().Draw(t, "in send") {
		g = &h.sendGate
	}
	g.set(rapid.Bool().Draw(t, "freeze") && !h.isDead())
	synctest.Wait()
}

func (m *machine) faultWrites(t *rapid.T) {
	h := m.drawHost(t)
	n := rapid.SampledFrom([]int{0, 1, 2, allCalls}).Draw(t, "writes")
	switch rapid.SampledFrom([]string{"lose answers", "lose requests", "hold"}).Draw(t, "fault") {
	case "lose answers":
		h.client.LoseNextAnswers(n)
	case "lose requests":
		h.client.LoseNextRequests(n)
	default:
		h.client.DelayNextWrites(n)
	}
}

func (m *machine) faultTarget(t *rapid.T) {
	m.target.mu.Lock()
	defer m.target.mu.Unlock()
	m.target.rejectAttempts = rapid.IntRange(0, 3).Draw(t, "reject")
	m.target.dropAnswers = rapid.IntRange(0, 2).Draw(t, "drop")
}

func (m *machine) misjudgeHost(t *rapid.T) {
	m.setSeenDead(m.drawHost(t).id, rapid.Bool().Draw(t, "thought dead"))
	synctest.Wait()
}

func (m *machine) outage(t *rapid.T) {
	m.platform.SetDown(rapid.Bool().Draw(t, "down"))
	synctest.Wait()
}

// restore takes a copy of the platform, or restores the platform from one.
func (m *machine) restore(t *rapid.T) {
	if len(m.copies) == 0 || rapid.Bool().Draw(t, "copy") {
		m.copies = append(m.copies, m.platform.Backup())
		return
	}
	at := rapid.IntRange(0, len(m.copies)-1).Draw(t, "of")
	m.platform.Restore(m.copies[at])
	m.restored = true
	m.copies = m.copies[:at+1] // later copies contain data that is now lost
	synctest.Wait()
}

func (m *machine) deliverHeldWrites(*rapid.T) {
	m.platform.ApplyDelayedWrites()
	synctest.Wait()
}

func (m *machine) advanceTime(t *rapid.T) {
	time.Sleep(rapid.SampledFrom([]time.Duration{
		time.Millisecond, 20 * time.Millisecond, 100 * time.Millisecond, 2 * time.Second, time.Minute,
	}).Draw(t, "time"))
	synctest.Wait()
}

// passHorizon advances the time past removeAfter and sweeps old records.
func (m *machine) passHorizon(t *rapid.T) {
	if rapid.IntRange(0, 4).Draw(t, "rare") > 0 {
		t.Skip("not now")
	}
	time.Sleep(removeAfter + time.Hour)
	synctest.Wait()
	for _, h := range m.hosts {
		if !h.isDead() {
			go func() { _ = h.claims.sweep(context.Background(), rate.NewLimiter(rate.Inf, 1), 0) }()
			break
		}
	}
	synctest.Wait()
}

// heal ends every fault and waits until all background work is done.
func (m *machine) heal() {
	m.platform.SetDown(false)
	m.target.mu.Lock()
	m.target.rejectAttempts, m.target.dropAnswers = 0, 0
	m.target.mu.Unlock()
	for _, h := range m.hosts {
		m.setSeenDead(h.id, false)
		h.client.LoseNextAnswers(0)
		h.client.LoseNextRequests(0)
		h.client.DelayNextWrites(0)
		h.gate.set(false)
		h.sendGate.set(false)
	}
	m.platform.ApplyDelayedWrites()
	time.Sleep(time.Minute)
	synctest.Wait()
}

// check fails the test if the history violates a guarantee.
func (m *machine) check(t *rapid.T) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.target.mu.Lock()
	defer m.target.mu.Unlock()
	notRun := map[string]bool{}    // by request id
	allNotRun := map[string]bool{} // by reservation id
	answer := map[string]string{}
	for _, id := range m.ids {
		allNotRun[id] = true
		if n := len(m.target.runs[id]); n > 1 {
			t.Fatalf("reservation %s ran %d times", id, n)
		}
	}
	for _, o := range m.observed {
		id := o.req.ReservationID
		allNotRun[id] = allNotRun[id] && o.res.Outcome.NotRun() && !o.lost
		if o.lost {
			continue
		}
		notRun[o.req.RequestID] = o.res.Outcome.NotRun()
		if o.res.Outcome != outcome.Done {
			continue
		}
		if old, ok := answer[id]; ok && old != o.res.Answer {
			t.Fatalf("reservation %s was answered %q and %q", id, old, o.res.Answer)
		}
		answer[id] = o.res.Answer
		if len(m.target.runs[id]) != 1 {
			t.Fatalf("reservation %s was answered and ran %d times", id, len(m.target.runs[id]))
		}
	}
	for id, runs := range m.target.runs {
		if allNotRun[id] && m.idle() {
			t.Fatalf("reservation %s ran, but all requests were answered as not run", id)
		}
		for _, r := range runs {
			if notRun[r.RequestID] {
				t.Fatalf("request %s ran, but was answered as not run", r.RequestID)
			}
		}
	}
}

// idle reports whether no request is in flight.
func (m *machine) idle() bool {
	for _, h := range m.hosts {
		h.claims.mem.mu.Lock()
		n := len(h.claims.mem.flights)
		h.claims.mem.mu.Unlock()
		if n > 0 {
			return false
		}
	}
	return true
}

// finish repeats each reservation after all faults have ended. If targets
// support settling, each reservation gets its result, unless it is past the
// horizon.
func (m *machine) finish(t *rapid.T) {
	m.heal()
	h := m.add()
	for _, id := range m.ids {
		r := reservation(id)
		res := h.reserve(r)
		m.addObservation(observation{req: r, res: res})
		if m.restored && res.Reason == query.ReasonUnsettled {
			continue // older than the restore: it may have run, and the platform has lost the record
		}
		if m.settle && res.Reason != query.ReasonExpired && res.Outcome != outcome.Done {
			t.Fatalf("reservation %s ends as %s %s", id, res.Outcome, res.Reason)
		}
	}
	m.check(t)
}

func TestHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var failure any
		synctest.Test(t, func(*testing.T) {
			m := &machine{fleet: newFleet(3)}
			defer m.end()
			defer func() { failure = recover() }() // rapid fails by a panic, which must reach the goroutine of rapid.Check
			m.run(rt)
		})
		if failure != nil {
			panic(failure)
		}
	})
}

func (m *machine) run(t *rapid.T) {
	m.settle = rapid.Bool().Draw(t, "targets can be asked")
	for i := range 2 {
		m.ids = append(m.ids, newID(time.Now().Add(time.Duration(i))))
	}
	t.Repeat(map[string]func(*rapid.T){
		"":        m.check,
		"reserve": m.reserve, "repeat": m.reserve, "kill": m.kill, "freeze": m.freeze,
		"fault writes": m.faultWrites, "fault target": m.faultTarget, "misjudge": m.misjudgeHost,
		"outage": m.outage, "land late": m.deliverHeldWrites, "pass": m.advanceTime, "age": m.passHorizon,
		"restore": m.restore,
	})
	m.finish(t)
}
