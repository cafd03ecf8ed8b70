package member

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/objstore"
	"rhubarbwood.example/rhubarbwood/internal/objstore/objstoretest"
)

func TestHostsMeetThroughThePlatform(t *testing.T) {
	inBubble(t, func(t *testing.T, net *network) {
		is := is.New(t)
		store := objstoretest.New()
		first := net.start(store.Client(), 1) // the seed, host 0, is not running
		second := net.start(store.Client(), 2)
		eventually(t, 2*time.Second, "met", func() bool { return allListAlive([]*Members{first, second}, 2) })
		is.Equal(len(store.Objects(objstore.KindMember)), 2)
		is.NoErr(second.Stop(context.Background()))
		is.Equal(len(store.Objects(objstore.KindMember)), 1) // removed by the host that stopped
	})
}

func TestRecordIsWrittenAfterAnOutage(t *testing.T) {
	inBubble(t, func(t *testing.T, net *network) {
		store := objstoretest.New()
		store.SetDown(true)
		net.start(store.Client(), 1)
		time.Sleep(time.Hour)
		store.SetDown(false)
		eventually(t, time.Minute, "written", func() bool { return len(store.Objects(objstore.KindMember)) == 1 })
	})
}

func TestIncarnationGrowsOverTheRecord(t *testing.T) {
	inBubble(t, func(t *testing.T, net *network) {
		is := is.New(t)
		store := objstoretest.New()
		before := net.start(store.Client(), 1).Self().Incarnation
		net.kill(1)
		again := net.start(store.Client(), 1, func(m *Members) { m.self.Incarnation = 7 })
		is.True(again.Self().Incarnation > before) // before Start returns
	})
}

func TestRecordOfDeadHostIsRemovedAndForgotten(t *testing.T) {
	inBubble(t, func(t *testing.T, net *network) {
		is := is.New(t)
		store := objstoretest.New()
		var all []*Members
		for i := range 3 {
			all = append(all, net.start(store.Client(), i))
		}
		eventually(t, 10*time.Second, "met", func() bool { return allListAlive(all, 3) })
		net.kill(2)
		time.Sleep(30 * time.Minute)
		is.Equal(len(store.Objects(objstore.KindMember)), 3) // kept, as the host may restart
		time.Sleep(3 * time.Hour)
		is.Equal(len(store.Objects(objstore.KindMember)), 2)
		for _, m := range all[:2] {
			_, known := m.Lookup(name(2))
			is.True(!known)
		}
	})
}

func TestPlatformCallsDoNotGrowWithTheFleet(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{3, 9, 120, 720, 5000} {
		lists := float64(n) / DefaultConfig().refreshInterval(n).Seconds() // of the whole fleet, per second
		is.True(lists <= 4)
	}
}
