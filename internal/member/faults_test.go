package member

import (
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

const faultHosts = 7 // hosts of the state machine

// faults applies random faults to a fleet. Between them it checks that no host
// replaces the record of another host by one of an older incarnation or
// version.
type faults struct {
	net      *network
	all      []*Members                     // nil: killed
	lastSeen map[*Members]map[string]update // the newest records that each host had in its table
}

func newFaults() *faults {
	f := &faults{net: newNetwork(), all: make([]*Members, faultHosts), lastSeen: map[*Members]map[string]update{}}
	for i := range f.all {
		f.start(i, 0)
	}
	return f
}

// start starts host i with a clock that is slow by the given time.
func (f *faults) start(i int, back time.Duration) {
	f.all[i] = f.net.start(downStore{}, i, func(m *Members) { m.self.Incarnation -= uint64(back) })
	f.lastSeen[f.all[i]] = map[string]update{}
}

func (f *faults) host(rt *rapid.T) int { return rapid.IntRange(0, faultHosts-1).Draw(rt, "host") }

// Cut divides the hosts into two partitions.
func (f *faults) Cut(rt *rapid.T) {
	sides := rapid.SliceOfN(rapid.IntRange(0, 1), faultHosts, faultHosts).Draw(rt, "sides")
	f.net.withLock(func() {
		for i, s := range sides {
			f.net.partition[address(i)] = s
		}
	})
}

func (f *faults) Heal(*rapid.T) { f.net.withLock(func() { clear(f.net.partition) }) }

func (f *faults) Freeze(rt *rapid.T) {
	i := f.host(rt)
	f.net.withLock(func() { f.net.frozen[address(i)] = true })
}

func (f *faults) Thaw(*rapid.T) { f.net.withLock(func() { clear(f.net.frozen) }) }

// Lose drops every n-th message.
func (f *faults) Lose(rt *rapid.T) {
	n, count := rapid.IntRange(2, 10).Draw(rt, "one in"), 0
	f.net.withLock(func() {
		f.net.dropMessage = func() bool {
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

// Restart starts a killed host again, with a clock that may have been set back.
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
			f.checkNoRegression(rt, m)
		}
	}
}

// checkNoRegression fails if a record in m's table is older than one that m had
// before.
func (f *faults) checkNoRegression(rt *rapid.T, m *Members) {
	m.mu.Lock()
	defer m.mu.Unlock()
	seen := f.lastSeen[m]
	for id, r := range m.table.rows {
		old := seen[id]
		if r.Incarnation < old.Incarnation || r.Incarnation == old.Incarnation && r.Version < old.Version {
			rt.Fatalf("%s replaced the record of %s by an older one: had %v, has %v", m.self.ID, id, old, r.update)
		}
		seen[id] = r.update
	}
	if m.self.Incarnation < seen[m.self.ID].Incarnation {
		rt.Fatalf("%s lowered its own incarnation", m.self.ID)
	}
	seen[m.self.ID] = m.self
}

// converge ends all faults and waits until every view lists every host as
// alive.
func (f *faults) converge(rt *rapid.T) {
	f.net.withLock(func() {
		clear(f.net.partition)
		clear(f.net.frozen)
		f.net.dropMessage = func() bool { return false }
	})
	for i := range f.all {
		if f.all[i] == nil {
			f.start(i, 0)
		}
	}
	if waitUntil(time.Minute, func() bool { return allListAlive(f.all, faultHosts) }) < 0 {
		for _, m := range f.all {
			rt.Logf("%s lists %v", m.self.ID, m.Hosts())
		}
		rt.Fatal("views differ a minute after the last fault")
	}
	f.Check(rt)
}

func TestViewsConvergeAfterAnyFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var failure any // rapid ends a run by a panic, which synctest does not pass on by itself
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
