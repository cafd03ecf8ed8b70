package member

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/objstore"
	"rhubarbwood.example/rhubarbwood/internal/objstore/objstoretest"
	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
)

// startAll starts n hosts while the platform is down and waits until each
// knows all.
func startAll(t *testing.T, net *network, n int, prepare ...func(*Members)) []*Members {
	t.Helper()
	var all []*Members
	for i := range n {
		all = append(all, net.start(downStore{}, i, prepare...))
	}
	if took := until(time.Minute, func() bool { return everywhere(all, n) }); took < 0 {
		t.Fatalf("hosts did not meet within a minute")
	}
	return all
}

// until waits in virtual time until ok, and returns how long that took, or -1
// if it took longer than limit.
func until(limit time.Duration, ok func() bool) time.Duration {
	const step = 10 * time.Millisecond
	for took := time.Duration(0); took <= limit; took += step {
		if ok() {
			return took
		}
		time.Sleep(step)
	}
	return -1
}

// each reports whether ok holds for all of the views.
func each(views []*Members, ok func(*Members) bool) bool {
	for _, m := range views {
		if !ok(m) {
			return false
		}
	}
	return true
}

// everywhere reports whether each of the views holds n hosts that are alive
// and no other.
func everywhere(views []*Members, n int) bool {
	return each(views, func(m *Members) bool {
		for _, h := range m.Hosts() {
			if h.State != Alive {
				return false
			}
		}
		return len(m.Hosts()) == n
	})
}

// heldAs reports whether each of the views holds host i in the state.
func heldAs(views []*Members, i int, s State) bool {
	return each(views, func(m *Members) bool {
		h, _ := m.Lookup(name(i))
		return h.State == s
	})
}

func without(all []*Members, i int) []*Members {
	return append(append([]*Members{}, all[:i]...), all[i+1:]...)
}

// within fails the test unless ok comes true within limit.
func within(t *testing.T, limit time.Duration, what string, ok func() bool) {
	t.Helper()
	took := until(limit, ok)
	if took < 0 {
		t.Fatalf("%s: not within %v", what, limit)
	}
	t.Logf("%s after %v", what, took)
}

// inBubble runs f with a network in virtual time.
func inBubble(t *testing.T, f func(t *testing.T, net *network)) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork()
		defer net.stopAll()
		f(t, net)
	})
}

func TestKilledHostIsDeadEverywhere(t *testing.T) {
	inBubble(t, func(t *testing.T, net *network) {
		all := startAll(t, net, 9)
		net.kill(4)
		within(t, 10*time.Second, "dead everywhere", func() bool { return heldAs(without(all, 4), 4, Dead) })
	})
}

func TestFrozenHostRefutesItsDeath(t *testing.T) {
	inBubble(t, func(t *testing.T, net *network) {
		is := is.New(t)
		all := startAll(t, net, 9)
		before := all[4].Self()
		net.change(func() { net.frozen[address(4)] = true })
		within(t, 10*time.Second, "dead everywhere", func() bool { return heldAs(without(all, 4), 4, Dead) })
		time.Sleep(time.Minute)
		net.change(func() { delete(net.frozen, address(4)) })
		within(t, 10*time.Second, "alive everywhere", func() bool { return everywhere(all, 9) })
		is.Equal(all[4].Self().Incarnation, before.Incarnation) // it did not start again
	})
}

func TestGroupsCutFromEachOtherMeetAgain(t *testing.T) {
	inBubble(t, func(t *testing.T, net *network) {
		all := startAll(t, net, 9)
		net.change(func() {
			for i := 5; i < 9; i++ {
				net.side[address(i)] = 1
			}
		})
		within(t, 20*time.Second, "apart", func() bool { return everywhere(all[:5], 5) && everywhere(all[5:], 4) })
		time.Sleep(time.Hour)
		net.change(func() { clear(net.side) })
		within(t, 20*time.Second, "together", func() bool { return everywhere(all, 9) })
	})
}

func TestOnePathCutMakesNoSuspect(t *testing.T) {
	inBubble(t, func(t *testing.T, net *network) {
		is := is.New(t)
		all := startAll(t, net, 5)
		net.change(func() { net.cut[[2]string{address(1), address(2)}] = true })
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			is.True(everywhere(all, 5)) // others reach both
		}
	})
}

// slowProber fails after a time that no timeout explains, as when this process
// was stopped meanwhile.
type slowProber struct{}

func (slowProber) Probe(context.Context, string, *peerpb.ProbeRequest) (*peerpb.ProbeReply, error) {
	time.Sleep(time.Minute)
	return nil, errRefused
}

func TestProbeOverAPauseMakesNoSuspect(t *testing.T) {
	inBubble(t, func(t *testing.T, net *network) {
		all := startAll(t, net, 2)
		stopped := New(DefaultConfig(), Host{ID: "stopped"}, downStore{}, slowProber{}, event.Discard(), nil)
		target := update{Host: all[1].Self()}
		stopped.apply(target, 0)
		stopped.probe(t.Context(), target)
		is.New(t).True(heldAs([]*Members{stopped}, 1, Alive))
	})
}

func TestLeaveSpreads(t *testing.T) {
	inBubble(t, func(t *testing.T, net *network) {
		all := startAll(t, net, 48)
		all[7].Leave(context.Background())
		within(t, 3*time.Second, "leaving everywhere", func() bool { return heldAs(all, 7, Leaving) })
		time.Sleep(time.Minute)
		is.New(t).True(heldAs(all, 7, Leaving)) // it still answers, and nobody takes it for alive or dead
		is.New(t).NoErr(all[7].Stop(context.Background()))
		within(t, 3*time.Second, "gone everywhere", func() bool { return heldAs(without(all, 7), 7, Dead) })
	})
}

func TestLeaveTellsASmallFleetBeforeItReturns(t *testing.T) {
	inBubble(t, func(t *testing.T, net *network) {
		all := startAll(t, net, 9)
		all[7].Leave(context.Background())
		is.New(t).True(heldAs(all, 7, Leaving))
	})
}

func TestHostThatMissedTheListLearnsItFromProbes(t *testing.T) {
	inBubble(t, func(t *testing.T, net *network) {
		all := startAll(t, net, 60)
		time.Sleep(time.Minute) // until nothing is news
		late := net.start(downStore{}, 60, func(m *Members) {
			m.cfg.Seeds = nil
			never := fullSync{last: time.Now().Add(time.Hour), agreed: time.Now().Add(time.Hour)}
			m.ownSync, m.othersSync = never, never // no whole list: records in turn must do
		})
		is.New(t).Equal(len(late.Hosts()), 1)
		first := all[0].Self()
		late.mu.Lock()
		late.table.learn(first, time.Now(), late.rng)
		late.mu.Unlock()
		within(t, 15*time.Second, "knows nearly all", func() bool { return len(late.Hosts()) >= 58 })
	})
}

func TestManyHostsStartedAtOnceMeet(t *testing.T) {
	inBubble(t, func(t *testing.T, net *network) {
		var all []*Members
		for i := range 100 {
			all = append(all, net.start(downStore{}, i))
		}
		within(t, 20*time.Second, "met", func() bool { return everywhere(all, 100) })
	})
}

func TestListTakenAtStartIsNoNews(t *testing.T) {
	inBubble(t, func(t *testing.T, net *network) {
		is := is.New(t)
		startAll(t, net, 20)
		late := net.start(downStore{}, 20)
		is.Equal(len(late.Hosts()), 21)
		late.mu.Lock()
		defer late.mu.Unlock()
		is.Equal(len(late.table.pending()), 0) // else it would crowd out what is
	})
}

// revisions is a configuration that pulls the revision of the host hinted at.
type revisions struct {
	net   *network
	self  *Members
	value atomic.Uint64
}

func (r *revisions) Revision() uint64 { return r.value.Load() }

func (r *revisions) Hint(peer Host) {
	r.self.work.Go(func() {
		time.Sleep(2 * oneWay) // the pull
		r.set(r.net.host(peer.Peer).revisions.Revision())
	})
}

func (r *revisions) set(v uint64) {
	for old := r.value.Load(); old < v; old = r.value.Load() {
		if r.value.CompareAndSwap(old, v) {
			r.self.Announce()
		}
	}
}

func TestRevisionReachesAllWithinASecond(t *testing.T) {
	inBubble(t, func(t *testing.T, net *network) {
		all := startAll(t, net, 60, func(m *Members) { m.Follow(&revisions{net: net, self: m}) })
		all[17].revisions.(*revisions).set(42)
		within(t, time.Second, "in force everywhere", func() bool {
			return each(all, func(m *Members) bool { return m.Self().Revision == 42 })
		})
		within(t, time.Minute, "known everywhere to be in force", func() bool {
			return each(all, func(m *Members) bool {
				return !slices.ContainsFunc(m.Hosts(), func(h Host) bool { return h.Revision != 42 })
			})
		})
	})
}

func TestRestartUnderSlowClockIsAccepted(t *testing.T) {
	inBubble(t, func(t *testing.T, net *network) {
		all := startAll(t, net, 5)
		before := all[3].Self().Incarnation
		net.kill(3)
		time.Sleep(time.Minute)
		all[3] = net.start(downStore{}, 3, func(m *Members) { m.self.Incarnation = 1 })
		within(t, 10*time.Second, "alive everywhere", func() bool { return everywhere(all, 5) })
		is.New(t).True(all[3].Self().Incarnation > before)
	})
}

func TestAloneWithoutPlatformOrPeers(t *testing.T) {
	inBubble(t, func(t *testing.T, net *network) {
		is := is.New(t)
		m := net.start(downStore{}, 1)
		time.Sleep(time.Minute)
		is.Equal(len(m.Hosts()), 1)
		is.True(m.lastHeard().IsZero())
		other := net.start(downStore{}, 0) // the seed comes up
		within(t, 2*time.Second, "met", func() bool { return everywhere([]*Members{m, other}, 2) })
		is.True(time.Since(m.lastHeard()) < time.Second)
	})
}

// A seed without power answers nothing, not even a refusal. Callers wait for
// the start, so it must not wait for that seed.
func TestSeedWithoutPowerDoesNotHoldUpTheStart(t *testing.T) {
	inBubble(t, func(t *testing.T, net *network) {
		is := is.New(t)
		net.change(func() { net.frozen[address(0)] = true })
		for i, holders := range []int{0, 8} {
			began := time.Now()
			m := net.start(downStore{}, i+1, func(m *Members) { m.cfg.RecordHolders = holders })
			is.True(time.Since(began) <= 2*joinWait)
			is.Equal(m.Hosts()[0].ID, name(i+1))
		}
	})
}

// Few hosts use the platform, whatever the fleet's size, but a host that no
// seed answers finds the others there.
func TestFewHostsKeepARecord(t *testing.T) {
	inBubble(t, func(t *testing.T, net *network) {
		is := is.New(t)
		platform := objstoretest.New()
		few := func(m *Members) { m.cfg.RecordHolders = 3 }
		for i := range 20 {
			net.start(platform.Client(), i, few)
		}
		time.Sleep(2 * recordSpread)
		is.True(len(platform.Objects(objstore.KindMember)) >= 3)
		is.True(len(platform.Objects(objstore.KindMember)) < 8)
		net.change(func() { net.side[address(0)] = 1 }) // the only seed
		last := net.start(platform.Client(), 20, few)
		within(t, 2*recordSpread, "others found", func() bool { return len(last.Hosts()) > 2 })
		within(t, 20*time.Second, "together", func() bool { return len(last.Hosts()) >= 20 })
	})
}
