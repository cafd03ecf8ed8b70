package claim

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/time/rate"

	"rhubarbwood.example/rhubarbwood/internal/objstore"
	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

// Steps at which the sending host fails.
const (
	beforeCreate = iota
	bytesSent    // the target receives them after the caller has switched to another host
	answerLost   // the target has run the reservation
	beforeAnswer // the host has the answer but has not returned it
	lossSteps
)

// runCounts counts the reservations of one experiment by how often they ran.
type runCounts struct{ once, twice, never, unsettled int }

// reserveUnderKills makes reservations on one host, which is killed at each of
// the steps in turn, and repeats them on another host. With withoutRecord set,
// hosts send without a claim record.
func reserveUnderKills(t *testing.T, settle, withoutRecord bool) runCounts {
	var sum runCounts
	for i := range 40 * lossSteps {
		inFleet(t, 2, func(_ *is.I, f *fleet) {
			f.settle = settle
			a, b := f.hosts[0], f.hosts[1]
			ask := (*host).reserve
			if withoutRecord {
				ask = func(h *host, r query.ReserveRequest) query.Reservation {
					return h.Send(context.Background(), r, "t0", r.RequestID)
				}
			}
			r := newReservation()
			a.gate.set(i%lossSteps == beforeCreate)
			a.sendGate.set(i%lossSteps == bytesSent)
			if i%lossSteps == answerLost {
				f.target.dropAnswers = 1
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
			sum.add(f.runs(r), last.Outcome)
		})
	}
	return sum
}

func (s *runCounts) add(runs int, last outcome.Outcome) {
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

// Counts duplicate runs without the record, with the record, and with the
// record and targets that support settling.
func TestDuplicatesUnderKills(t *testing.T) {
	is := is.New(t)
	plain := reserveUnderKills(t, false, true)
	record := reserveUnderKills(t, false, false)
	settled := reserveUnderKills(t, true, false)
	t.Logf("of %d reservations, (once, twice, never, unsettled): no record %v, record %v, record and settling %v",
		40*lossSteps, plain, record, settled)
	is.True(plain.twice > 0) // the kills do cause duplicates
	is.Equal(record.twice, 0)
	is.Equal(settled, runCounts{once: 40 * lossSteps})
}

// limitedStore is a platform with a limited write rate.
type limitedStore struct {
	objstore.Store
	writes *rate.Limiter
}

func (s limitedStore) Put(ctx context.Context, kind, name string, version uint64, value []byte) (objstore.Object, error) {
	if err := s.writes.Wait(ctx); err != nil {
		return objstore.Object{}, &objstore.Unavailable{Cause: err}
	}
	return s.Store.Put(ctx, kind, name, version, value)
}

// loadResult counts the results of reservations offered at a constant rate.
type loadResult struct {
	done, refused int
	puts          int
	answers       []time.Duration // latencies of the completed reservations, sorted
}

// offerLoad sends reservations to eight hosts for ten seconds of virtual time,
// at a constant rate that does not depend on earlier results. Platform calls
// take 2 ms plus the wait for the limit of 300 writes per second; sends take no
// time.
func offerLoad(f *fleet, perSecond int) loadResult {
	const limit, seconds = 300, 10
	writes := rate.NewLimiter(limit, 1)
	for _, h := range f.hosts {
		h.client.SetLatency(2 * time.Millisecond)
		h.claims.records.store = limitedStore{h.client, writes}
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	var sum loadResult
	for i := range perSecond * seconds {
		time.Sleep(time.Second / time.Duration(perSecond))
		wg.Go(func() {
			start := time.Now()
			res := f.hosts[i%len(f.hosts)].reserve(reservation(newID(start)))
			mu.Lock()
			defer mu.Unlock()
			if res.Outcome == outcome.Done {
				sum.done++
				sum.answers = append(sum.answers, time.Since(start))
			} else {
				sum.refused++
			}
		})
	}
	wg.Wait()
	time.Sleep(time.Minute) // wait for the last outcomes to be written
	sum.puts = f.platform.Calls("put")
	slices.Sort(sum.answers)
	return sum
}

// Reservations on a platform with 300 writes per second, below and above its
// capacity.
func TestPlatformOverload(t *testing.T) {
	done := map[int]int{}
	for _, perSecond := range []int{75, 135, 180, 300, 750} {
		inFleet(t, 8, func(_ *is.I, f *fleet) {
			l := offerLoad(f, perSecond)
			done[perSecond] = l.done
			t.Logf("offered %d/s: done %.0f/s, writes each %.2f, p50 %v, p99 %v", perSecond, float64(l.done)/10,
				float64(l.puts)/float64(l.done), l.answers[len(l.answers)/2], l.answers[len(l.answers)*99/100])
		})
	}
	is := is.New(t)
	is.Equal(done[75], 750)
	is.True(float64(done[300]) >= 0.9*float64(done[135]))
	is.True(float64(done[750]) >= 0.9*float64(done[135]))
}
