package claim

import (
	"context"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/time/rate"

	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/platform"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

// Steps at which a sender is lost.
const (
	beforeCreate = iota
	bytesSent    // the target gets them after the caller has turned elsewhere
	answerLost   // the target has run it
	beforeAnswer // the host has the answer and has not passed it on
	lossSteps
)

// tally is what became of the reservations of one run.
type tally struct{ once, twice, never, unsettled int }

// underKills makes reservations at one host, which is lost at each of the
// steps in turn; the caller repeats at another. The plain way sends without a
// record.
func underKills(t *testing.T, settle, plain bool) tally {
	var sum tally
	for i := range 40 * lossSteps {
		inWorld(t, 2, func(_ *is.I, w *world) {
			w.settle = settle
			a, b := w.hosts[0], w.hosts[1]
			ask := (*host).reserve
			if plain {
				ask = func(h *host, r query.Reserve) query.Reservation {
					return h.Send(context.Background(), r, "t0", r.RequestID)
				}
			}
			r := reservation(newID(time.Now()))
			a.gate.set(i%lossSteps == beforeCreate)
			a.sendGate.set(i%lossSteps == bytesSent)
			if i%lossSteps == answerLost {
				w.target.drop = 1
			}
			go ask(a, r)
			synctest.Wait()
			a.kill()
			last := ask(b, r)
			a.sendGate.set(false)
			synctest.Wait()
			if last.Outcome != outcome.Done {
				last = ask(b, r)
			}
			sum.add(len(w.target.runs[r.ReservationID]), last.Outcome)
		})
	}
	return sum
}

func (s *tally) add(runs int, last outcome.Outcome) {
	switch {
	case runs > 1:
		s.twice++
	case runs == 1:
		s.once++
	default:
		s.never++
	}
	if last == outcome.Unknown {
		s.unsettled++
	}
}

// Duplicates with the record, with the record and targets that can be asked,
// and without it.
func TestDuplicatesUnderKills(t *testing.T) {
	is := is.New(t)
	plain := underKills(t, false, true)
	record := underKills(t, false, false)
	settled := underKills(t, true, false)
	t.Logf("of %d reservations, (once, twice, never, unsettled): no record %v, record %v, record and settling %v",
		40*lossSteps, plain, record, settled)
	is.True(plain.twice > 0) // the losses do make duplicates
	is.Equal(record.twice, 0)
	is.Equal(settled, tally{once: 40 * lossSteps})
}

// limitedStore is a platform that takes a number of writes a second.
type limitedStore struct {
	platform.Store
	writes *rate.Limiter
}

func (s limitedStore) Put(ctx context.Context, kind, name string, version uint64, value []byte) (platform.Object, error) {
	if err := s.writes.Wait(ctx); err != nil {
		return platform.Object{}, &platform.Unavailable{Cause: err}
	}
	return s.Store.Put(ctx, kind, name, version, value)
}

// Reservations a second at a platform with a limit of writes, in virtual time:
// callers in a closed loop, platform calls of 2 ms, sends of no time.
func TestReservationsPerWrite(t *testing.T) {
	const limit, seconds, callers = 300, 10, 64
	inWorld(t, 4, func(is *is.I, w *world) {
		writes := rate.NewLimiter(limit, 1)
		for _, h := range w.hosts {
			h.client.SetLatency(2 * time.Millisecond)
			h.claims.ledger.store = limitedStore{h.client, writes}
		}
		ctx, cancel := context.WithTimeout(context.Background(), seconds*time.Second)
		defer cancel()
		var wg sync.WaitGroup
		var mu sync.Mutex
		done := 0
		for i := range callers {
			wg.Go(func() {
				for ctx.Err() == nil {
					res := w.hosts[i%len(w.hosts)].reserve(reservation(newID(time.Now())))
					mu.Lock()
					if res.Outcome == outcome.Done {
						done++
					}
					mu.Unlock()
				}
			})
		}
		wg.Wait()
		time.Sleep(time.Minute) // the last outcomes
		perDone := float64(w.platform.Calls("put")) / float64(done)
		t.Logf("%d writes a second carry %.0f reservations a second, %.2f writes each", limit, float64(done)/seconds, perDone)
		is.True(math.Abs(perDone-2) < 0.05)
	})
}
