package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/query"
)

// overload drives the queues of several services that serve on average one
// shard a millisecond each, with queries over all of them, and counts the
// queries that every service granted in their budget. rank gives the rank of
// one shard.
type overload struct {
	services int
	offered  int // queries a millisecond, on average
	budget   time.Duration
	arrival  bool // no ranks
	rank     func(request, service int) float64
}

// around returns 0 to 2n, n on average.
func around(rng *rand.Rand, n int) int { return rng.IntN(n+1) + rng.IntN(n+1) }

func (o overload) whole(span time.Duration) (whole int) {
	queues := make([]*Queue[int], o.services)
	for i := range queues {
		queues[i] = NewQueue[int](QueueConfig{ByArrival: o.arrival})
	}
	rng := seeded()
	granted := make(map[int]int)
	request := 0
	for past := time.Duration(0); past < span; past += time.Millisecond {
		now := at(past)
		for range around(rng, o.offered) {
			request++
			for s, q := range queues {
				w := waiter(request, query.Interactive, now.Add(o.budget))
				w.Rank = o.rank(request, s)
				q.Push(now, w)
			}
		}
		for _, q := range queues {
			q.Expire(now)
			for range around(rng, 1) {
				if w := q.Pop(now, nil); w != nil {
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

// TestWholeQueriesUnderOverload shows why shards are refused by the rank of
// their request: refused each by itself, hardly any query gets all of them.
func TestWholeQueriesUnderOverload(t *testing.T) {
	is := is.New(t)
	const span, services = 4 * time.Second, 10
	possible := float64(span / time.Millisecond)
	rng := rand.New(rand.NewPCG(1, 1))
	byRequest := func(request, _ int) float64 { return Rank(fmt.Sprint(request)) }
	byShard := func(int, int) float64 { return rng.Float64() }
	for _, offered := range []int{2, 5} {
		o := overload{services: services, offered: offered, budget: 200 * time.Millisecond, rank: byRequest}
		ranked := float64(o.whole(span)) / possible
		o.rank = byShard
		unranked := float64(o.whole(span)) / possible
		o.arrival = true
		arrival := float64(o.whole(span)) / possible
		t.Logf("offered %d times: whole queries over the possible: %.3f by request, %.3f by shard, %.3f by arrival",
			offered, ranked, unranked, arrival)
		is.True(ranked >= 0.9)
		is.True(unranked < 0.2)
		is.True(arrival < 0.2)
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

func TestThrottleSendsOnWhatRelaysAccept(t *testing.T) {
	is := is.New(t)
	var th Throttle
	sent, accepted := 0, 0
	for i := range 10000 { // 1,000 a second, the relays take the lowest fifth
		now := at(time.Duration(i) * time.Millisecond)
		rank := Rank(fmt.Sprint(i))
		if !th.Admits(now, rank) {
			continue
		}
		sent++
		if rank < 0.2 {
			accepted++
			th.Accepted(now)
		}
	}
	is.True(sent < 2800)     // not the 10,000 offered
	is.True(accepted > 1900) // of 2,000 possible
}
