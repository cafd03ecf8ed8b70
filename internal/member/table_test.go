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

func fixed() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }

// full returns a table with n live hosts.
func full(n int) *table {
	t := newTable()
	rng := fixed()
	for i := range n {
		h := Host{ID: name(i), FailureDomain: "park-circus", Peer: address(i), API: address(i),
			Incarnation: uint64(time.Now().UnixNano()), State: Alive, Revision: 1 << 20}
		t.apply(update{Host: h, Version: 3}, time.Time{}, 0, rng)
	}
	return t
}

func TestUpdatesOfOneHostCommute(t *testing.T) {
	states := []State{Alive, Suspect, Leaving, Dead}
	rapid.Check(t, func(rt *rapid.T) {
		some := rapid.Custom(func(rt *rapid.T) update {
			h := Host{ID: "a", Incarnation: rapid.Uint64Range(1, 3).Draw(rt, "incarnation"),
				State: rapid.SampledFrom(states).Draw(rt, "state"), Revision: rapid.Uint64Range(0, 3).Draw(rt, "revision")}
			return update{Host: h, Version: rapid.Uint64Range(0, 3).Draw(rt, "version")}
		})
		us := rapid.SliceOfN(some, 1, 8).Draw(rt, "updates")
		us = append(us, update{Host: Host{ID: "a", State: Alive}}) // so that the host is known
		shuffled := rapid.Permutation(us).Draw(rt, "order")
		if a, b := applied(us), applied(shuffled); a != b {
			rt.Fatalf("%v in one order, %v in another", a, b)
		}
	})
}

// applied returns what a table that knows the host of us makes of them.
func applied(us []update) update {
	t := newTable()
	t.apply(update{Host: Host{ID: "a", State: Alive}}, time.Time{}, 0, fixed())
	for _, u := range us {
		t.apply(u, time.Time{}, 0, fixed())
	}
	return t.rows["a"].update
}

func TestMessagesDoNotGrowWithTheFleet(t *testing.T) {
	is := is.New(t)
	limit := DefaultConfig().UpdatesPerMessage
	for _, n := range []int{9, 48, 720} {
		table := full(n)
		for _, r := range table.rows {
			r.sends = 30 // everything is news
		}
		is.Equal(len(table.updates(limit, name(0))), limit)
		size := proto.Size(&peerpb.ProbeRequest{Updates: toInfos(table.updates(limit, name(0)))})
		t.Logf("%d hosts: %d bytes of updates", n, size)
		is.True(size <= 1024)
	}
}

func TestChangeIsSentABoundedNumberOfTimes(t *testing.T) {
	is := is.New(t)
	table := full(720)
	u := table.rows[name(500)].update
	u.Version++
	table.apply(u, time.Time{}, 30, fixed())
	sent := 0
	for range 100 { // of 8 records each: too few for the turn of all 720 to come round
		for _, got := range table.updates(8, "") {
			if got.ID == u.ID {
				sent++
			}
		}
	}
	is.True(sent >= 30 && sent <= 32) // 30 times as news, the rest when its turn came
}

func TestPausedHostGivesSuspectsItsPause(t *testing.T) {
	is := is.New(t)
	table := full(3)
	began := time.Now()
	is.True(table.missed(table.rows[name(1)].update, began, 0))
	table.postpone(time.Minute)
	died := table.expire(began.Add(time.Minute+time.Second), 2*time.Second, time.Hour, 0)
	is.Equal(len(died), 0)
	died = table.expire(began.Add(time.Minute+2*time.Second), 2*time.Second, time.Hour, 0)
	is.Equal(len(died), 1)
}

func TestSilentLeavingHostDies(t *testing.T) {
	is := is.New(t)
	table := full(3)
	u := table.rows[name(1)].update
	u.State, u.Version = Leaving, u.Version+1
	now := time.Now()
	table.apply(u, now, 0, fixed())
	is.True(!table.missed(u, now, 0)) // no suspect: that would hide that it leaves
	table.answered(u.ID)
	is.Equal(len(table.expire(now.Add(time.Hour), time.Second, time.Hour, 0)), 0)
	table.missed(u, now, 0)
	is.Equal(len(table.expire(now.Add(time.Second), time.Second, time.Hour, 0)), 1)
}

func TestConfigProblemsAreAllTold(t *testing.T) {
	is := is.New(t)
	is.NoErr(DefaultConfig().Validate())
	bad := DefaultConfig()
	bad.ProbeInterval, bad.Seeds = 0, []string{"nowhere"}
	err := bad.Validate().Error()
	is.Equal(err, "member: probe_interval must be more than 0\nmember: seeds: \"nowhere\": want host:port")
}
