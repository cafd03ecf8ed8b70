package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/catalog"
	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

const testDelay = time.Millisecond // of a shard

// remoteWorld returns a world whose one service of 6 shards has two relays,
// both on other hosts than the entry's.
func remoteWorld() (*world, []member.Host) {
	w := newWorld(3, 2, 6)
	w.services[0].Name = serviceWithRemoteRelays(w)
	w.snapshots[0].Services = map[string]catalog.ShardMap{w.services[0].Name: {Shards: make([][]string, 6)}}
	for _, r := range w.relays {
		r.delay = testDelay
	}
	return w, w.entry().router.candidates(w.services[0].Name)
}

// TestFrozenRelayIsHedgedAsSoonAsItIsLate freezes a relay when the usual
// time of calls is known: a search waits for that, not for its part of the budget, and
// one search at a time probes the relay later.
func TestFrozenRelayIsHedgedAsSoonAsItIsLate(t *testing.T) {
	is := is.New(t)
	w, remote := remoteWorld()
	synctest.Test(t, func(t *testing.T) {
		e := w.entry()
		q := wholeWorkload
		q.Budget = time.Second
		for range 3 * latencyCalls {
			_, refusal := e.Search(context.Background(), q)
			is.True(refusal == nil)
		}
		w.relays[remote[0].ID].frozen = true
		start := time.Now()
		waited := 0
		for range 200 {
			began := time.Now()
			answer, _ := e.Search(context.Background(), q)
			is.True(answer.Coverage.Complete())
			took := time.Since(began)
			is.True(took < 2*lateLeast) // that part would be 400 ms
			if took > 6*testDelay {
				waited++
			}
		}
		is.True(time.Since(start) < 2*time.Second)
		is.True(waited >= 1 && waited <= 3) // found frozen, and probed
	})
}

// TestSuspectsAreAskedLast has the membership suspect a relay.
func TestSuspectsAreAskedLast(t *testing.T) {
	is := is.New(t)
	w, remote := remoteWorld()
	for i := range w.hosts {
		if w.hosts[i].ID == remote[0].ID {
			w.hosts[i].State = member.Suspect
		}
	}
	r := w.entry().router
	for range 50 {
		h, ok := r.choose(w.services[0].Name, time.Now(), choice{})
		is.True(ok)
		is.Equal(h.ID, remote[1].ID)
	}
	h, ok := r.choose(w.services[0].Name, time.Now(), choice{tried: []string{remote[1].ID}})
	is.True(ok) // there is no other left
	is.Equal(h.ID, remote[0].ID)
}

// TestOneSearchProbes lets the time of an avoided relay end.
func TestOneSearchProbes(t *testing.T) {
	is := is.New(t)
	w, remote := remoteWorld()
	r := w.entry().router
	now := time.Now()
	r.lost(remote[0].ID, now)
	is.True(r.spared(remote[0].ID, now.Add(avoidFirst-1)))
	now = now.Add(avoidFirst)
	is.True(!r.spared(remote[0].ID, now)) // the probe
	is.True(r.spared(remote[0].ID, now))
	r.lost(remote[0].ID, now) // the probe was lost: twice as long
	is.True(r.spared(remote[0].ID, now.Add(2*avoidFirst-1)))
	is.True(!r.spared(remote[0].ID, now.Add(2*avoidFirst)))
	r.answered(remote[0].ID)
	is.True(!r.spared(remote[0].ID, now))
}

// TestNoEarlyOvertakingUnderLoad holds the early ones to their budget, and to
// none after a refusal for load.
func TestNoEarlyOvertakingUnderLoad(t *testing.T) {
	is := is.New(t)
	p := newCallLatencies()
	now := time.Now()
	taken := 0
	for range 1000 {
		p.began(now, query.Interactive)
		p.took(query.Interactive, 20*time.Millisecond)
		if p.take(now, query.Interactive) {
			taken++
		}
	}
	is.True(taken >= 30 && taken <= int(hedgeBudget*1000))
	late, ok := p.late(query.Interactive)
	is.True(ok)
	is.Equal(late, lateLeast)
	for range 100 {
		p.began(now, query.Interactive)
	}
	p.overloaded(now, query.Interactive)
	now = now.Add(hedgePause)
	is.True(!p.take(now, query.Interactive))
	is.True(p.take(now.Add(1), query.Interactive))
}
