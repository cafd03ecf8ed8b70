package claim

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/time/rate"

	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/outcome"
)

func TestSweepRemovesOnlyOldRecords(t *testing.T) {
	inFleet(t, 2, func(is *is.I, f *fleet) {
		a, b := f.hosts[0], f.hosts[1]
		old, young := newID(time.Now()), newID(time.Now().Add(time.Hour))
		is.Equal(a.reserve(reservation(old)).Outcome, outcome.Done)
		time.Sleep(time.Hour)
		is.Equal(a.reserve(reservation(young)).Outcome, outcome.Done)

		left := func() int {
			return len(f.platform.Objects(mustID(old).kind())) + len(f.platform.Objects(mustID(young).kind()))
		}
		time.Sleep(removeAfter - time.Hour)
		a.sweepAll(is)
		is.Equal(left(), 2)
		time.Sleep(sliceLength + time.Minute)
		a.sweepAll(is)
		is.Equal(left(), 1)
		time.Sleep(time.Hour)
		b.sweepAll(is) // continues from the cursor of the other host
		is.Equal(left(), 0)
	})
}

// A sweep round makes no more platform calls than configured, and the next
// round continues.
func TestSweepRoundIsBounded(t *testing.T) {
	inFleet(t, 1, func(is *is.I, f *fleet) {
		h := f.hosts[0]
		start := time.Now()
		for range 30 {
			is.Equal(h.reserve(reservation(newID(start))).Outcome, outcome.Done)
		}
		time.Sleep(removeAfter + time.Hour)
		h.reserve(newReservation())
		h.claims.cfg.MaxSweepCalls = 12
		kind := mustID(newID(start)).kind()
		for len(f.platform.Objects(kind)) > 0 {
			before := f.platform.Calls("get", "put", "list", "delete")
			is.NoErr(h.claims.sweep(context.Background(), rate.NewLimiter(rate.Inf, 1), 0))
			after := f.platform.Calls("get", "put", "list", "delete")
			is.True(after-before <= 13) // 12 calls, and one that moves the cursor
		}
	})
}

// Two hosts that sweep at the same time share the work.
func TestSweepersShareASlice(t *testing.T) {
	inFleet(t, 2, func(is *is.I, f *fleet) {
		start := time.Now()
		for range 100 {
			is.Equal(f.hosts[0].reserve(reservation(newID(start))).Outcome, outcome.Done)
		}
		time.Sleep(removeAfter)
		for _, h := range f.hosts {
			h.reserve(newReservation())
			h.sweepAll(is) // the cursor is at the slice
		}
		time.Sleep(sliceLength + time.Minute)
		var wg sync.WaitGroup
		begun := time.Now()
		for rank, h := range f.hosts {
			h.reserve(newReservation())
			limit := rate.NewLimiter(10, 1)
			wg.Go(func() { _ = h.claims.sweep(context.Background(), limit, rank) })
		}
		wg.Wait()
		is.Equal(len(f.platform.Objects(mustID(newID(start)).kind())), 0)
		took := time.Since(begun)
		is.True(took < 6*time.Second) // 100 deletes at 10 per second and host, and a few other calls
	})
}

// Of 720 hosts two sweep, and the platform gets no more calls than their
// configured rate.
func TestFewHostsSweep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1)
		defer f.end()
		v := manyHosts{}
		for i := range 720 {
			v.hosts = append(v.hosts, member.Host{ID: fmt.Sprintf("host-%d", i)})
		}
		sweepers := 0
		for _, h := range v.hosts {
			v.self = h
			if sweepRank(v, DefaultConfig().Sweepers) >= 0 {
				sweepers++
			}
		}
		is.Equal(sweepers, 2)

		h := f.hosts[0]
		h.reserve(newReservation())
		h.claims.cfg.Sweepers = 1
		is.NoErr(h.claims.Start(context.Background()))
		before := f.platform.Calls("list", "put")
		time.Sleep(10 * time.Minute)
		calls := f.platform.Calls("list", "put") - before
		is.True(calls > 0)
		is.True(float64(calls) <= 600*h.claims.cfg.SweepRate)
	})
}

// manyHosts is the membership view of a large fleet.
type manyHosts struct {
	self  member.Host
	hosts []member.Host
}

func (m manyHosts) Self() member.Host    { return m.self }
func (m manyHosts) Hosts() []member.Host { return m.hosts }
func (m manyHosts) Count() int           { return len(m.Hosts()) }

func (m manyHosts) Generation() uint64 { return 1 }
