package discovery

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"rhubarbwood.example/rhubarbwood/internal/routing"
)

func configVersion(v uint64) routing.Config { return routing.Config{Version: v} }

func configRead(v, revision uint64) ConfigRead {
	return ConfigRead{Config: configVersion(v), Found: true, Revision: at(revision)}
}

func additionsOf(ids ...string) []TargetChange {
	var changes []TargetChange
	for _, id := range ids {
		changes = append(changes, TargetChange{Target: Target{ID: id, Service: "s"}})
	}
	return changes
}

func removalOf(id string) []TargetChange { return []TargetChange{{Target: Target{ID: id}, Gone: true}} }

func targetIDs(s *State) []string {
	all := []string{}
	for _, t := range s.View().Targets {
		all = append(all, t.ID)
	}
	return all
}

func TestConfigurationNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewState()
		newest := uint64(0)
		for range rapid.IntRange(1, 30).Draw(t, "reads") {
			v := rapid.Uint64Range(1, 9).Draw(t, "version")
			s.ApplyConfig(configRead(v, rapid.Uint64Range(1, 99).Draw(t, "revision")), time.Now())
			newest = max(newest, v)
			table, _ := s.Table()
			if table.Config.Version != newest {
				t.Fatalf("version %d in force, want %d", table.Config.Version, newest)
			}
		}
	})
}

func TestAnOldListChangesNothing(t *testing.T) {
	is := is.New(t)
	s := NewState()
	s.ApplyChanges(TargetChanges{Changes: additionsOf("a", "b"), Revision: at(9)}, time.Now())
	s.ApplyTargets(TargetList{Targets: []Target{{ID: "c"}}, Revision: at(8)}, time.Now())
	is.Equal(targetIDs(s), []string{"a", "b"})
	s.ApplyChanges(TargetChanges{Changes: removalOf("a"), Revision: at(8)}, time.Now())
	is.Equal(targetIDs(s), []string{"a", "b"})
	s.ApplyTargets(TargetList{Targets: []Target{{ID: "b", Service: "s"}}, Revision: at(10)}, time.Now())
	is.Equal(targetIDs(s), []string{"b"})
}

// Registrations lapse while the store is down, and are written again once it is back.
func TestTargetMissingAfterAnOutageIsKeptForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := NewState()
		s.ApplyChanges(TargetChanges{Changes: additionsOf("a", "b"), Revision: at(1)}, time.Now())
		s.NoteReadFailure()
		time.Sleep(s.lapseAfter)
		s.NoteReadSuccess()
		s.ApplyTargets(TargetList{Revision: at(5)}, time.Now())
		is.Equal(targetIDs(s), []string{"a", "b"})
		s.ApplyChanges(TargetChanges{Changes: additionsOf("a"), Revision: at(6)}, time.Now()) // written again
		time.Sleep(lapseGrace - time.Millisecond)
		is.Equal(len(s.Expire(time.Now())), 0)
		time.Sleep(time.Millisecond)
		gone := s.Expire(time.Now())
		is.Equal(len(gone), 1)
		is.Equal(gone[0].Target.ID, "b")
		is.Equal(targetIDs(s), []string{"a"})
	})
}

func TestTargetThatLeavesWithoutAnOutageIsGoneAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := NewState()
		s.ApplyChanges(TargetChanges{Changes: additionsOf("a"), Revision: at(1)}, time.Now())
		s.NoteReadFailure()
		time.Sleep(s.lapseAfter)
		s.NoteReadSuccess()
		s.ApplyChanges(TargetChanges{Revision: at(1)}, time.Now())
		time.Sleep(lapseGrace)
		s.ApplyChanges(TargetChanges{Changes: removalOf("a"), Revision: at(2)}, time.Now())
		is.Equal(targetIDs(s), []string{})
	})
}

func TestUpdateEndsAWaitingPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := NewState()
		s.ApplyConfig(configRead(1, 3), time.Now())
		s.ApplyChanges(TargetChanges{Changes: additionsOf("a"), Revision: at(3)}, time.Now())
		got := make(chan Update, 1)
		go func() { got <- s.AwaitUpdate(context.Background(), s.Cursor(), time.Minute) }()
		synctest.Wait()
		is.Equal(len(got), 0)
		s.ApplyConfig(configRead(2, 4), time.Now())
		u := <-got
		is.Equal(u.Config.Version, uint64(2))
		is.Equal(len(u.Changes), 0)

		began := time.Now()
		u = s.AwaitUpdate(context.Background(), s.Cursor(), time.Minute)
		is.Equal(time.Since(began), time.Minute)
		is.True(u.Config == nil)
		is.True(!u.RegistryAsOf.IsZero()) // the ages are sent even without changes
	})
}

// One host gets its state from another only, through any mix of changes, outages and lost replies,
// and has the same state in the end.
func TestUpdatesCarryAllState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, second := NewState(), NewState()
		revision := uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			revision++
			id := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "target")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				first.ApplyChanges(TargetChanges{Changes: additionsOf(id), Revision: at(revision)}, time.Now())
			case 1:
				first.ApplyChanges(TargetChanges{Changes: removalOf(id), Revision: at(revision)}, time.Now())
			case 2:
				first.ApplyConfig(configRead(revision, revision), time.Now())
			case 3:
				u, _ := first.updateSince(second.Cursor())
				second.ApplyUpdate(u)
			}
		}
		u, _ := first.updateSince(second.Cursor())
		second.ApplyUpdate(u)
		is := is.New(t)
		is.Equal(targetIDs(first), targetIDs(second))
		a, _ := first.Table()
		b, _ := second.Table()
		is.Equal(a == nil, b == nil)
		if a != nil {
			is.Equal(a.Config.Version, b.Config.Version)
		}
	})
}

func TestTruncatedHistoryYieldsTheFullList(t *testing.T) {
	is := is.New(t)
	s := NewState()
	s.ApplyChanges(TargetChanges{Changes: additionsOf("a"), Revision: at(1)}, time.Now())
	for r := uint64(2); r < maxHistory+10; r += 2 {
		s.ApplyChanges(TargetChanges{Changes: additionsOf("b"), Revision: at(r)}, time.Now())
		s.ApplyChanges(TargetChanges{Changes: removalOf("b"), Revision: at(r + 1)}, time.Now())
	}
	u, _ := s.updateSince(Cursor{RegistryRevision: at(2)})
	is.True(u.AllTargets)
	is.Equal(len(u.Changes), 1)
	u, _ = s.updateSince(Cursor{RegistryRevision: at(s.Cursor().RegistryRevision.Number - 2)})
	is.True(!u.AllTargets)
	is.Equal(len(u.Changes), 2)
}

// A registration that another program makes unusable removes its target at once, even around an
// outage of the store, in which lapsed targets are kept. Once usable again it returns. The problem
// is reported once.
func TestUnusableRegistrationIsOutUntilItIsUsable(t *testing.T) {
	is := is.New(t)
	s := NewState()
	good := Target{ID: "a", Service: "s", Address: "h:1", Slots: 1}
	other := Target{ID: "b", Service: "s", Address: "h:2", Slots: 1}
	now := time.Now()
	is.Equal(len(s.ApplyTargets(TargetList{Targets: []Target{good, other}, Revision: at(1)}, now.Add(-s.lapseAfter))), 2)
	s.NoteReadFailure()
	s.NoteReadSuccess()
	unusable := TargetChange{Target: Target{ID: "a"}, Gone: true, Problem: "service: want the name of a service"}
	changes := s.ApplyChanges(TargetChanges{Changes: []TargetChange{unusable}, Revision: at(2)}, now)
	is.Equal(len(changes), 2) // the target is gone, and the problem
	is.Equal(s.View().Targets, []Target{other})
	is.Equal(len(s.ApplyChanges(TargetChanges{Changes: []TargetChange{unusable}, Revision: at(3)}, now)), 0)
	list := TargetList{Targets: []Target{other}, Unusable: []Unusable{{ID: "a", Problem: unusable.Problem}}, Revision: at(4)}
	is.Equal(len(s.ApplyTargets(list, now)), 0)
	is.Equal(len(s.ApplyChanges(TargetChanges{Changes: []TargetChange{{Target: good}}, Revision: at(5)}, now)), 1)
	is.Equal(len(s.View().Targets), 2)
	is.Equal(len(s.ApplyChanges(TargetChanges{Changes: []TargetChange{unusable}, Revision: at(6)}, now)), 2) // reported again
}

// Registrations by other programs must not grow a host's memory without limit.
func TestUnusableRegistrationsAreBounded(t *testing.T) {
	is := is.New(t)
	s := NewState()
	for i := range 4 * maxUnusable {
		c := TargetChange{Target: Target{ID: fmt.Sprint(i)}, Gone: true, Problem: "p"}
		s.ApplyChanges(TargetChanges{Changes: []TargetChange{c}, Revision: at(uint64(i + 1))}, time.Now())
	}
	is.True(len(s.unusable) <= maxUnusable)
}

// Late changes or lists with an old incarnation, from the store or from a peer, must not replace
// the next one.
func TestOldIncarnationDoesNotReplaceANewerOne(t *testing.T) {
	is := is.New(t)
	s := NewState()
	first := Target{ID: "a", Service: "s", Address: "h:1", Slots: 1, StartMillis: 1000}
	again := first
	again.StartMillis = 2000
	now := time.Now()
	s.ApplyTargets(TargetList{Targets: []Target{first}, Revision: at(5)}, now)
	s.ApplyChanges(TargetChanges{Changes: []TargetChange{{Target: again}}, Revision: at(9)}, now)
	is.Equal(s.View().Targets, []Target{again})
	s.ApplyTargets(TargetList{Targets: []Target{first}, Revision: at(8)}, now)
	s.ApplyUpdate(Update{Changes: []TargetChange{{Target: first}}, RegistryRevision: at(7), RegistryAsOf: now})
	s.ApplyChanges(TargetChanges{Changes: []TargetChange{{Target: Target{ID: "a"}, Gone: true}}, Revision: at(8)}, now)
	is.Equal(s.View().Targets, []Target{again})
}
