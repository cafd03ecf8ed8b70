package discovery

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
	"rhubarbwood.example/rhubarbwood/internal/revision"
)

// remainingWarmup returns the remaining warm-up time of a target in a host's state, -1 if there is
// no such target.
func remainingWarmup(s *State, id string) time.Duration {
	for _, t := range s.View().Targets {
		if t.ID == id {
			return max(time.Until(t.ColdUntil), 0)
		}
	}
	return -1
}

// registrationOf returns the registration of target a with a warm-up time, as a change at a
// revision.
func registrationOf(warmup time.Duration, revision uint64) TargetChanges {
	return TargetChanges{Changes: []TargetChange{{Target: Target{ID: "a", Warmup: warmup}}}, Revision: at(revision)}
}

// A target is cold until the warm-up time of its registration has passed. Every registration
// repeats the remaining time; only an early end or a new start of the warm-up is a change.
func TestTargetIsColdAsItsRegistrationSays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := NewState()
		changed := func(warmup time.Duration, revision uint64) bool {
			return len(s.ApplyChanges(registrationOf(warmup, revision), time.Now())) > 0
		}
		is.True(changed(3*time.Second, 1))
		is.Equal(remainingWarmup(s, "a"), 3*time.Second)
		time.Sleep(time.Second)
		is.True(!changed(2100*time.Millisecond, 2)) // within the tolerance for transit
		is.Equal(remainingWarmup(s, "a"), 2*time.Second)
		time.Sleep(time.Second)
		is.True(changed(0, 3)) // early end
		is.Equal(remainingWarmup(s, "a"), time.Duration(0))
		is.True(changed(3*time.Second, 4)) // new start
		is.Equal(remainingWarmup(s, "a"), 3*time.Second)
		time.Sleep(4 * time.Second)
		is.True(!changed(0, 5))
		is.True(changed(2*time.Second, 6))
		is.Equal(remainingWarmup(s, "a"), 2*time.Second)
	})
}

// Late changes and lists never make a cold target warm.
func TestOldUpdatesMakeNoTargetWarm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := NewState()
		s.ApplyChanges(registrationOf(0, 1), time.Now())
		s.ApplyChanges(registrationOf(3*time.Second, 5), time.Now())
		s.ApplyChanges(registrationOf(0, 4), time.Now())
		s.ApplyTargets(TargetList{Targets: []Target{{ID: "a"}}, Revision: at(3)}, time.Now())
		is.Equal(remainingWarmup(s, "a"), 3*time.Second)
	})
}

// pollOnce applies at one host the reply of another, encoded and decoded as on the network.
func pollOnce(t *testing.T, from, to *State) {
	t.Helper()
	update, _ := from.updateSince(to.Cursor())
	reply := encodeReply(update, time.Now(), time.Now())
	text, err := proto.Marshal(reply)
	if err != nil {
		t.Fatal(err)
	}
	var got peerpb.FollowReply
	if err := proto.Unmarshal(text, &got); err != nil {
		t.Fatal(err)
	}
	read, err := decodeReply(&got, time.Now(), time.Now())
	if err != nil {
		t.Fatal(err)
	}
	to.ApplyUpdate(read)
}

// A peer gets the remaining warm-up time as of the reply, not the one as of the registration.
func TestPeersGetTheRemainingWarmup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		for _, listed := range []bool{true, false} {
			first, second := NewState(), NewState()
			first.ApplyTargets(TargetList{Revision: at(1)}, time.Now())
			second.ApplyTargets(TargetList{Revision: at(1)}, time.Now())
			first.ApplyChanges(registrationOf(3*time.Second, 5), time.Now())
			if listed {
				second = NewState() // without state it gets the full list
			}
			time.Sleep(2 * time.Second)
			pollOnce(t, first, second)
			is.Equal(remainingWarmup(second, "a"), time.Second)
			time.Sleep(2 * time.Second)
			third := NewState()
			pollOnce(t, second, third)
			is.Equal(remainingWarmup(third, "a"), time.Duration(0))
		}
	})
}

// Permits reach each peer once and never change within an era. In another era they are not valid.
func TestPermitsReachPeersAndNeverChange(t *testing.T) {
	is := is.New(t)
	first, second := NewState(), NewState()
	first.ApplyTargets(TargetList{Revision: at(1)}, time.Now())
	first.ApplyPermits([]Permit{{Target: "a", Hosts: []string{"x", "y"}, Each: 3, Era: 1}})
	pollOnce(t, first, second)
	is.Equal(second.View().Permits["a"].LimitFor("x"), 3)
	is.Equal(second.View().Permits["a"].LimitFor("z"), 0)
	second.ApplyPermits([]Permit{{Target: "a", Hosts: []string{"z"}, Each: 5, Era: 1}})
	is.Equal(second.View().Permits["a"].LimitFor("z"), 0)
	third := NewState()
	third.ApplyTargets(TargetList{Revision: revision.Revision{Era: 2, Number: 1}}, time.Now())
	third.ApplyPermits([]Permit{{Target: "a", Hosts: []string{"x", "y"}, Each: 3, Era: 1}})
	is.Equal(len(third.View().Permits), 0)
	third.ApplyPermits([]Permit{{Target: "a", Hosts: []string{"z"}, Each: 5, Era: 2}})
	is.Equal(third.View().Permits["a"].LimitFor("z"), 5)
	update, _ := first.updateSince(Cursor{FindingEpoch: first.findings.epoch, PermitNumber: 1})
	is.Equal(len(update.Permits), 0)
	update, _ = first.updateSince(Cursor{FindingEpoch: first.findings.epoch + 1, PermitNumber: 1}) // cursor of an earlier process
	is.Equal(len(update.Permits), 1)
}

// A starting host gets the evacuations that have just ended, as targets there may have become cold
// meanwhile.
func TestPeersGetTheEndsOfEvacuations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		first, second := NewState(), NewState()
		first.ApplyEvacuations(EvacuationRead{Domains: []string{"d"}, Revision: at(1)}, time.Now())
		first.ApplyEvacuations(EvacuationRead{Revision: at(2)}, time.Now())
		time.Sleep(time.Second)
		pollOnce(t, first, second)
		is.Equal(time.Since(second.View().EvacuationEnds["d"]), time.Second)
	})
}
