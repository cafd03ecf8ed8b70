package member

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
)

// fixedRand returns a random generator with a fixed seed.
func fixedRand() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }

// tableOf returns a table with n alive hosts.
func tableOf(n int) *table {
	t := newTable()
	rng := fixedRand()
	for i := range n {
		h := Host{ID: name(i), FailureDomain: "park-circus", PeerAddress: address(i), APIAddress: address(i),
			Incarnation: uint64(time.Now().UnixNano()), State: Alive, Revision: 1 << 20}
		t.apply(update{Host: h, Version: 3}, time.Time{}, 0, rng)
	}
	return t
}

func TestUpdatesOfOneHostCommute(t *testing.T) {
	states := []State{Alive, Suspect, Leaving, Dead}
	rapid.Check(t, func(rt *rapid.T) {
		randomUpdate := rapid.Custom(func(rt *rapid.T) update {
			h := Host{ID: "a", Incarnation: rapid.Uint64Range(1, 3).Draw(rt, "incarnation"),
				State: rapid.SampledFrom(states).Draw(rt, "state"), Revision: rapid.Uint64Range(0, 3).Draw(rt, "revision")}
			return update{Host: h, Version: rapid.Uint64Range(0, 3).Draw(rt, "version")}
		})
		us := rapid.SliceOfN(randomUpdate, 1, 8).Draw(rt, "updates")
		us = append(us, update{Host: Host{ID: "a", State: Alive}}) // adds the host to the table
		shuffled := rapid.Permutation(us).Draw(rt, "order")
		if a, b := mergeAll(us), mergeAll(shuffled); a != b {
			rt.Fatalf("%v in one order, %v in another", a, b)
		}
	})
}

// mergeAll returns the record of the host "a" after a table that lists it has
// applied us.
func mergeAll(us []update) update {
	t := newTable()
	t.apply(update{Host: Host{ID: "a", State: Alive}}, time.Time{}, 0, fixedRand())
	for _, u := range us {
		t.apply(u, time.Time{}, 0, fixedRand())
	}
	return t.rows["a"].update
}

func TestMessagesDoNotGrowWithTheFleet(t *testing.T) {
	is := is.New(t)
	limit := DefaultConfig().UpdatesPerMessage
	for _, n := range []int{9, 48, 720} {
		table := tableOf(n)
		for _, r := range table.rows {
			r.sendsLeft = 30 // every record is a change to be sent
		}
		is.Equal(len(table.piggybackUpdates(limit, name(0))), limit)
		size := proto.Size(&peerpb.ProbeRequest{Updates: toInfos(table.piggybackUpdates(limit, name(0)))})
		t.Logf("%d hosts: %d bytes of updates", n, size)
		is.True(size <= 1024)
	}
}

func TestChangeIsSentABoundedNumberOfTimes(t *testing.T) {
	is := is.New(t)
	table := tableOf(720)
	u := table.rows[name(500)].update
	u.Version++
	table.apply(u, time.Time{}, 30, fixedRand())
	sent := 0
	for range 100 { // of 8 records each: too few to send all 720 in rotation
		for _, got := range table.piggybackUpdates(8, "") {
			if got.ID == u.ID {
				sent++
			}
		}
	}
	is.True(sent >= 30 && sent <= 32) // 30 times as a change, the rest in rotation
}

func TestPauseExtendsSuspicions(t *testing.T) {
	is := is.New(t)
	table := tableOf(3)
	began := time.Now()
	is.True(table.probeFailed(table.rows[name(1)].update, began, 0))
	table.extendSuspicions(time.Minute)
	died := table.expire(began.Add(time.Minute+time.Second), 2*time.Second, time.Hour, 0)
	is.Equal(len(died), 0)
	died = table.expire(began.Add(time.Minute+2*time.Second), 2*time.Second, time.Hour, 0)
	is.Equal(len(died), 1)
}

func TestUnresponsiveLeavingHostIsDeclaredDead(t *testing.T) {
	is := is.New(t)
	table := tableOf(3)
	u := table.rows[name(1)].update
	u.State, u.Version = Leaving, u.Version+1
	now := time.Now()
	table.apply(u, now, 0, fixedRand())
	is.True(!table.probeFailed(u, now, 0)) // it stays leaving: as a suspect it could get new work
	table.markResponsive(u.ID)
	is.Equal(len(table.expire(now.Add(time.Hour), time.Second, time.Hour, 0)), 0)
	table.probeFailed(u, now, 0)
	is.Equal(len(table.expire(now.Add(time.Second), time.Second, time.Hour, 0)), 1)
}

func TestValidateReportsAllProblems(t *testing.T) {
	is := is.New(t)
	is.NoErr(DefaultConfig().Validate())
	bad := DefaultConfig()
	bad.ProbeInterval, bad.Seeds = 0, []string{"nowhere"}
	err := bad.Validate().Error()
	is.Equal(err, "member: probe_interval must be more than 0\nmember: seeds: \"nowhere\": want host:port")
}
