package member

import (
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

const fleet = 7 // hosts of the state machine

// faults drives a fleet through random faults. Between them it checks that no
// host takes an older incarnation or version of another than it held before.
type faults struct {
	net  *network
	all  []*Members // nil: killed
	held map[*Members]map[string]update
}

func newFaults() *faults {
	f := &faults{net: newNetwork(), all: make([]*Members, fleet), held: map[*Members]map[string]update{}}
	for i := range f.all {
		f.start(i, 0)
	}
	return f
}

// start starts host i under a clock that is back by the given time.
func (f *faults) start(i int, back time.Duration) {
	f.all[i] = f.net.start(downStore{}, i, func(m *Members) { m.self.Incarnation -= uint64(back) })
	f.held[f.all[i]] = map[string]update{}
}

func (f *faults) host(rt *rapid.T) int { return rapid.IntRange(0, fleet-1).Draw(rt, "host") }

// Cut puts each host on one of two sides.
func (f *faults) Cut(rt *rapid.T) {
	sides := rapid.SliceOfN(rapid.IntRange(0, 1), fleet, fleet).Draw(rt, "sides")
	f.net.change(func() {
		for i, s := range sides {
			f.net.side[address(i)] = s
		}
	})
}

func (f *faults) Heal(*rapid.T) { f.net.change(func() { clear(f.net.side) }) }

func (f *faults) Freeze(rt *rapid.T) {
	i := f.host(rt)
	f.net.change(func() { f.net.frozen[address(i)] = true })
}

func (f *faults) Thaw(*rapid.T) { f.net.change(func() { clear(f.net.frozen) }) }

// Lose loses every n-th message.
func (f *faults) Lose(rt *rapid.T) {
	n, count := rapid.IntRange(2, 10).Draw(rt, "one in"), 0
	f.net.change(func() {
		f.net.lost = func() bool {
			count++
			return count%n == 0
		}
	})
}

func (f *faults) Kill(rt *rapid.T) {
	i := f.host(rt)
	if f.all[i] != nil {
		f.net.kill(i)
		f.all[i] = nil
	}
}

// Restart starts a killed host again, maybe under a clock that went back.
func (f *faults) Restart(rt *rapid.T) {
	i := f.host(rt)
	if f.all[i] == nil {
		f.start(i, time.Duration(rapid.IntRange(0, 3600).Draw(rt, "clock back by"))*time.Second)
	}
}

func (f *faults) Wait(rt *rapid.T) {
	time.Sleep(time.Duration(rapid.IntRange(1, 30_000).Draw(rt, "ms")) * time.Millisecond)
}

// Check runs after each step.
func (f *faults) Check(rt *rapid.T) {
	for _, m := range f.all {
		if m != nil {
			f.neverBack(rt, m)
		}
	}
}

func (f *faults) neverBack(rt *rapid.T, m *Members) {
	m.mu.Lock()
	defer m.mu.Unlock()
	held := f.held[m]
	for id, r := range m.table.rows {
		old := held[id]
		if r.Incarnation < old.Incarnation || r.Incarnation == old.Incarnation && r.Version < old.Version {
			rt.Fatalf("%s went back on %s from %v to %v", m.self.ID, id, old, r.update)
		}
		held[id] = r.update
	}
	if m.self.Incarnation < held[m.self.ID].Incarnation {
		rt.Fatalf("%s went back itself", m.self.ID)
	}
	held[m.self.ID] = m.self
}

// converge ends all faults and waits until every view holds every host alive.
func (f *faults) converge(rt *rapid.T) {
	f.net.change(func() {
		clear(f.net.side)
		clear(f.net.frozen)
		f.net.lost = func() bool { return false }
	})
	for i := range f.all {
		if f.all[i] == nil {
			f.start(i, 0)
		}
	}
	if until(time.Minute, func() bool { return everywhere(f.all, fleet) }) < 0 {
		for _, m := range f.all {
			rt.Logf("%s holds %v", m.self.ID, m.Hosts())
		}
		rt.Fatal("views differ a minute after the last fault")
	}
	f.Check(rt)
}

func TestViewsConvergeAfterAnyFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var failure any // rapid ends a run by a panic, which must leave the bubble by hand
		synctest.Test(t, func(*testing.T) {
			defer func() { failure = recover() }()
			f := newFaults()
			defer f.net.stopAll()
			rt.Repeat(map[string]func(*rapid.T){
				"": f.Check, "cut": f.Cut, "heal": f.Heal, "freeze": f.Freeze, "thaw": f.Thaw,
				"lose": f.Lose, "kill": f.Kill, "restart": f.Restart, "wait": f.Wait,
			})
			f.converge(rt)
		})
		if failure != nil {
			panic(failure)
		}
	})
}
