package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/query"
)

// overload drives the queues of several services, each of which serves one
// shard per millisecond on average, with queries over all of them.
type overload struct {
	services int
	offered  int // queries per millisecond, on average
	budget   time.Duration
	ranked   bool
	withdraw bool // a refused shard withdraws the query from the other queues
}

// randomAround returns 0 to 2n, n on average.
func randomAround(rng *rand.Rand, n int) int { return rng.IntN(n+1) + rng.IntN(n+1) }

// wholeQueries returns the number of queries that every service granted by
// their deadline.
func (o overload) wholeQueries(span time.Duration) (whole int) {
	queues := make([]*Queue[int], o.services)
	for i := range queues {
		queues[i] = NewQueue[int](QueueConfig{Ranked: o.ranked})
	}
	rng := seeded()
	granted, refused := make(map[int]int), make(map[int]bool)
	request := 0
	for elapsed := time.Duration(0); elapsed < span; elapsed += time.Millisecond {
		now := at(elapsed)
		for range randomAround(rng, o.offered) {
			request++
			for _, q := range queues {
				w := waiter(request, query.Interactive, now.Add(o.budget))
				w.Rank = Rank(fmt.Sprint(request))
				refused[request] = !q.Push(now, w).Admitted || refused[request]
			}
		}
		for _, q := range queues {
			for _, w := range q.Expire(now) {
				refused[w.Item] = true
			}
			for range randomAround(rng, 1) {
				if w := o.next(q, now, refused); w != nil {
					granted[w.Item]++
				}
			}
		}
	}
	for _, n := range granted {
		if n == o.services {
			whole++
		}
	}
	return whole
}

// next grants the next shard of a query that was not withdrawn.
func (o overload) next(q *Queue[int], now time.Time, refused map[int]bool) *Waiter[int] {
	for {
		w := q.Pop(now, nil)
		if w == nil || !o.withdraw || !refused[w.Item] {
			return w
		}
	}
}

// Refusing the last requests to arrive serves complete queries only if the
// other shards of a refused query are withdrawn; ranks do so without.
func TestWholeQueriesUnderOverload(t *testing.T) {
	is := is.New(t)
	const span, services = 4 * time.Second, 10
	for _, offered := range []int{2, 5} {
		part := func(ranked, withdraw bool) float64 {
			o := overload{services, offered, 200 * time.Millisecond, ranked, withdraw}
			return float64(o.wholeQueries(span)) / float64(span/time.Millisecond)
		}
		withdrawn, alone, ranked := part(false, true), part(false, false), part(true, false)
		t.Logf("offered %d times the capacity: part of the capacity in complete queries: %.3f withdrawn, %.3f not withdrawn, %.3f ranked and not withdrawn",
			offered, withdrawn, alone, ranked)
		is.True(withdrawn >= 0.9)
		is.True(alone < 0.2)
		is.True(ranked >= 0.9)
	}
}

func TestRankIsEvenAndStable(t *testing.T) {
	is := is.New(t)
	const n = 10000
	below := 0
	for i := range n {
		if Rank(fmt.Sprintf("request-%d", i)) < 0.25 {
			below++
		}
	}
	is.True(below > n*24/100 && below < n*26/100)
	is.Equal(Rank("a"), Rank("a"))
}
