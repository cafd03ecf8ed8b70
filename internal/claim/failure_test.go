package claim

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/time/rate"

	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

const many = 1 << 20 // faults: all calls from now on

// begin runs a reservation beside the test.
func (h *host) begin(r query.Reserve) <-chan query.Reservation {
	c := make(chan query.Reservation, 1)
	go func() { c <- h.reserve(r) }()
	synctest.Wait()
	return c
}

// beginHeld runs a reservation beside the test, up to the point at which the
// target would get it; opening sendGate lets it go on.
func (h *host) beginHeld(r query.Reserve) <-chan query.Reservation {
	h.sendGate.set(true)
	return h.begin(r)
}

// sweepAll removes every record that is old enough.
func (h *host) sweepAll(is *is.I) {
	h.claims.cfg.SweepCalls = many
	is.NoErr(h.claims.sweep(context.Background(), rate.NewLimiter(rate.Inf, 1), 0))
}

func TestCreateAnswerLost(t *testing.T) {
	inFleet(t, 2, func(is *is.I, f *fleet) {
		r := newReservation()
		f.hosts[0].client.LoseNextAnswers(1)
		first := f.hosts[0].reserve(r)
		is.Equal(first.Outcome, outcome.Done)
		is.Equal(f.platform.Calls("put"), 3) // the create, the create again, the outcome
		is.Equal(f.hosts[1].reserve(r).Answer, first.Answer)
		is.Equal(f.runs(r), 1)
	})
}

// A create that is never answered is given up; the host that gave up frees
// the record, whenever the create lands.
func TestCreateNeverAnswered(t *testing.T) {
	cases := map[string]func(h *host){
		"applied":     func(h *host) { h.client.LoseNextAnswers(many) },
		"not applied": func(h *host) { h.client.LoseNextRequests(many) },
		"lands late":  func(h *host) { h.client.HoldNextWrites(many) },
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			inFleet(t, 2, func(is *is.I, f *fleet) { createNeverAnswered(is, f, fault, true) })
			inFleet(t, 2, func(is *is.I, f *fleet) { createNeverAnswered(is, f, fault, false) })
		})
	}
}

func createNeverAnswered(is *is.I, f *fleet, fault func(*host), repeatEarly bool) {
	a, b := f.hosts[0], f.hosts[1]
	r := newReservation()
	fault(a)
	res := a.reserve(r)
	is.Equal(res.Outcome, outcome.NotSent)
	is.True(res.RetryAfter > 0)
	f.platform.Release()
	a.client.LoseNextAnswers(0)
	a.client.LoseNextRequests(0)
	a.client.HoldNextWrites(0)
	is.Equal(len(f.target.runs), 0)

	if repeatEarly {
		is.Equal(b.reserve(r).Outcome, outcome.Done) // a tells that it never sends
	}
	time.Sleep(time.Minute) // a frees the record
	a.kill()
	f.platform.Release()
	is.Equal(b.reserve(r).Outcome, outcome.Done)
	is.Equal(f.runs(r), 1)
}

// The record of a create that lands after its host gave up and was lost is
// told as unknown, never run.
func TestCreateLandsAfterHostLost(t *testing.T) {
	inFleet(t, 2, func(is *is.I, f *fleet) {
		r := newReservation()
		f.hosts[0].client.HoldNextWrites(many)
		is.Equal(f.hosts[0].reserve(r).Outcome, outcome.NotSent)
		f.hosts[0].kill()
		f.platform.Release()
		res := f.hosts[1].reserve(r)
		is.Equal(res.Outcome, outcome.Unknown)
		is.Equal(res.Reason, query.ReasonUnsettled)
		is.Equal(len(f.target.runs), 0)
	})
}

// A release that was held back on its way must not undo a later attempt.
func TestReleaseLandsLate(t *testing.T) {
	inFleet(t, 3, func(is *is.I, f *fleet) {
		a, b, c := f.hosts[0], f.hosts[1], f.hosts[2]
		r := newReservation()
		a.client.LoseNextAnswers(many)
		is.Equal(a.reserve(r).Outcome, outcome.NotSent)
		a.client.LoseNextAnswers(0)
		a.client.HoldNextWrites(2) // releases; the third one lands
		time.Sleep(time.Minute)
		first := b.beginHeld(r)
		f.platform.Release()
		second := c.begin(r)
		b.sendGate.set(false)
		is.Equal((<-first).Outcome, outcome.Done)
		is.Equal((<-second).Outcome, outcome.Done)
		is.Equal(f.runs(r), 1)
	})
}

func TestPlatformDownBefore(t *testing.T) {
	inFleet(t, 1, func(is *is.I, f *fleet) {
		h := f.hosts[0]
		_ = h.reserve(newReservation()) // the host knows the platform's clock
		f.platform.Outage(true)
		r := newReservation()
		start := time.Now()
		res := h.reserve(r)
		is.Equal(time.Since(start), time.Duration(0))
		is.Equal(res.Outcome, outcome.NotSent)
		is.Equal(res.Reason, query.ReasonPlatform)
		is.True(res.RetryAfter > 0)
		is.Equal(f.runs(r), 0)
		f.platform.Outage(false)
		is.Equal(h.reserve(r).Outcome, outcome.Done)
	})
}

// The platform fails between the create and the outcome: the caller has its
// answer, and so has each repeat once the platform is back.
func TestPlatformDownBetween(t *testing.T) {
	inFleet(t, 2, func(is *is.I, f *fleet) {
		a, b := f.hosts[0], f.hosts[1]
		r := newReservation()
		pending := a.beginHeld(r)
		f.platform.Outage(true)
		a.sendGate.set(false)
		first := <-pending
		is.Equal(first.Outcome, outcome.Done)
		is.Equal(a.reserve(r).Answer, first.Answer) // by memory
		is.Equal(b.reserve(r).Outcome, outcome.NotSent)
		f.platform.Outage(false)
		is.Equal(b.reserve(r).Answer, first.Answer) // a answers for the record
		time.Sleep(time.Minute)
		a.kill()
		is.Equal(b.reserve(r).Answer, first.Answer) // the record has it now
		is.Equal(f.runs(r), 1)
	})
}

// A host that knows that the reservation was sent never tells a repeat that
// it did not run, also when the platform is down.
func TestUnknownIsNotToldAsNotRun(t *testing.T) {
	inFleet(t, 1, func(is *is.I, f *fleet) {
		r := newReservation()
		f.target.drop = 1
		is.Equal(f.hosts[0].reserve(r).Outcome, outcome.Unknown)
		is.Equal(f.hosts[0].reserve(r).Outcome, outcome.Unknown)
		f.platform.Outage(true)
		is.Equal(f.hosts[0].reserve(r).Outcome, outcome.Unknown)
		is.Equal(f.runs(r), 1)
	})
}

func TestRepeatsAtManyHostsAtOnce(t *testing.T) {
	inFleet(t, 4, func(is *is.I, f *fleet) {
		r := newReservation()
		var all []<-chan query.Reservation
		for _, h := range f.hosts {
			h.sendGate.set(true)
			all = append(all, h.begin(r), h.begin(r))
		}
		for _, h := range f.hosts {
			h.sendGate.set(false)
		}
		answers := map[string]int{}
		for _, c := range all {
			answers[(<-c).Answer]++
		}
		is.Equal(len(answers), 1)
		is.Equal(f.runs(r), 1)
	})
}

func TestTargetDropsAnswer(t *testing.T) {
	for _, settle := range []bool{false, true} {
		inFleet(t, 2, func(is *is.I, f *fleet) {
			f.settle = settle
			want := map[bool]outcome.Outcome{false: outcome.Unknown, true: outcome.Done}[settle]
			r := newReservation()
			f.target.drop = 1
			first := f.hosts[0].reserve(r)
			is.Equal(first.Outcome, want)
			again := f.hosts[1].reserve(r)
			is.Equal(again.Outcome, want)
			is.Equal(again.Answer, first.Answer)
			is.Equal(f.runs(r), 1)
		})
	}
}

func TestRejected(t *testing.T) {
	inFleet(t, 2, func(is *is.I, f *fleet) {
		r := newReservation()
		f.target.reject = 2
		res := f.hosts[0].reserve(r)
		is.Equal(res.Outcome, outcome.Rejected)
		is.Equal(res.Reason, query.ReasonOverload)
		is.True(res.RetryAfter > 0)
		is.Equal(len(f.target.runs), 0)

		f.target.reject = 1 // the second target takes it
		res = f.hosts[1].reserve(r)
		is.Equal(res.Outcome, outcome.Done)
		is.Equal(res.Target, "t1")
		is.Equal(f.hosts[0].reserve(r).Answer, res.Answer)
		is.Equal(f.runs(r), 1)
	})
}

// The sender is lost, or only thought lost, with its bytes already on the way.
func TestSenderLost(t *testing.T) {
	for _, settle := range []bool{false, true} {
		inFleet(t, 3, func(is *is.I, f *fleet) {
			f.settle = settle
			r := newReservation()
			f.hosts[0].beginHeld(r)
			f.think("a", true)
			start := time.Now()
			res := f.hosts[1].reserve(r)
			is.Equal(time.Since(start), time.Duration(0))
			f.hosts[0].sendGate.set(false)
			synctest.Wait()
			is.Equal(f.runs(r), 1)
			if settle {
				is.Equal(res.Outcome, outcome.Done)
				is.Equal(f.hosts[2].reserve(r).Answer, res.Answer)
				is.Equal(f.hosts[0].reserve(r).Answer, res.Answer)
			} else {
				is.Equal(res.Reason, query.ReasonUnsettled)
			}
		})
	}
}

// A host frozen between its look at the clock and its create wakes after the
// record was removed. Its budget seems to last, as on a machine whose
// monotonic clock stood still as well.
func TestFrozenBeforeCreatePastHorizon(t *testing.T) {
	inFleet(t, 2, func(is *is.I, f *fleet) {
		a, b := f.hosts[0], f.hosts[1]
		is.Equal(a.reserve(newReservation()).Outcome, outcome.Done) // a knows the clock
		r := newReservation()
		r.Budget = 10 * removeAfter
		a.gate.set(true)
		frozen := a.begin(r)
		is.Equal(b.reserve(r).Outcome, outcome.Done)
		time.Sleep(removeAfter + time.Hour)
		b.sweepAll(is)
		is.Equal(len(f.platform.Objects(mustID(r.ReservationID).kind())), 0)
		a.gate.set(false)
		is.Equal((<-frozen).Reason, query.ReasonExpired)
		is.Equal(f.runs(r), 1)
	})
}

// A host frozen in its send wakes after the record was removed.
func TestFrozenInSendPastHorizon(t *testing.T) {
	inFleet(t, 2, func(is *is.I, f *fleet) {
		a, b := f.hosts[0], f.hosts[1]
		r := newReservation()
		r.Budget = 10 * removeAfter
		frozen := a.beginHeld(r)
		time.Sleep(removeAfter + time.Hour)
		b.sweepAll(is)
		res := b.reserve(r)
		is.Equal(res.Reason, query.ReasonExpired)
		is.Equal(res.Outcome, outcome.Unknown)
		a.sendGate.set(false)
		is.Equal((<-frozen).Outcome, outcome.Done)
		is.Equal(f.runs(r), 1)
	})
}

// A host frozen after its create wakes with its budget spent: it sends
// nothing and frees the record.
func TestFrozenAfterCreate(t *testing.T) {
	inFleet(t, 2, func(is *is.I, f *fleet) {
		a, b := f.hosts[0], f.hosts[1]
		r := newReservation()
		a.client.SetLatency(100 * time.Millisecond)
		is.Equal(a.reserve(newReservation()).Outcome, outcome.Done) // a knows the clock
		frozen := a.begin(r)
		time.Sleep(50 * time.Millisecond)
		a.careless = true // the check is not left to the sender
		a.gate.set(true)  // its create is on the way
		time.Sleep(time.Minute)
		is.Equal((<-frozen).Outcome, outcome.Unknown)
		a.gate.set(false)
		time.Sleep(time.Minute)
		a.kill()
		is.Equal(f.runs(r), 0)
		is.Equal(b.reserve(r).Outcome, outcome.Done)
		is.Equal(f.runs(r), 1)
	})
}

// While a second target is tried, the record names the second attempt, so
// that a settled first one does not free it.
func TestRecordNamesSecondAttempt(t *testing.T) {
	inFleet(t, 2, func(is *is.I, f *fleet) {
		f.settle = true
		f.target.reject = 1
		r := newReservation()
		a := f.hosts[0]
		a.gate.set(true)
		pending := a.begin(r)
		a.holdSend = 2
		a.gate.set(false)
		synctest.Wait()
		f.think("a", true)
		is.Equal(f.hosts[1].reserve(r).Outcome, outcome.Done)
		a.sendGate.set(false)
		is.Equal((<-pending).Outcome, outcome.Done)
		is.Equal(f.runs(r), 1)
	})
}

func mustID(s string) reservationID {
	id, err := parseID(s)
	if err != nil {
		panic(err)
	}
	return id
}

// The platform comes back from a copy without the newest claims. A repeat of a reservation that has run must not run again,
// at a host that ran it or at another one.
func TestRepeatAfterThePlatformCameBackOlderDoesNotRunAgain(t *testing.T) {
	inFleet(t, 2, func(is *is.I, f *fleet) {
		r := newReservation()
		is.Equal(f.hosts[0].reserve(r).Outcome, outcome.Done)
		f.platform.Reset()
		for _, h := range append(f.hosts, f.add()) {
			res := h.reserve(r)
			is.True(!res.Outcome.NotRun()) // known to the first host, unknown to the others
		}
		is.Equal(f.runs(r), 1)
		time.Sleep(lookEvery + lookSpread)
		later := newReservation()
		is.Equal(f.hosts[1].reserve(later).Outcome, outcome.Done)
		is.Equal(f.runs(later), 1)
	})
}
