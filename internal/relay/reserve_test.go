package relay

import (
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/catalog"
	"rhubarbwood.example/rhubarbwood/internal/objstore"
	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/query"
	"rhubarbwood.example/rhubarbwood/internal/targetapi"
)

// An item always maps to the same shard of a snapshot, and the newest snapshot
// is used of which every shard has a usable target.
func TestReservationGoesToTheNewestSnapshotHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(4, 2, func(f *fixture, _ *Config) {
			newer := catalog.Snapshot{Workload: "w", ID: 8, Services: map[string]catalog.ShardMap{
				"s": {Shards: [][]string{{"t0"}, {"t1"}}},
			}}
			f.view.snapshots = append([]catalog.Snapshot{newer}, f.view.snapshots...)
		})
		defer f.close()
		sent := func() (snapshot, shard string) {
			for _, target := range f.targets {
				target.set(func(x *fakeTarget) {
					x.serve = func(w http.ResponseWriter, r *http.Request, _ targetapi.Answer) {
						snapshot, shard = r.Header.Get(targetapi.HeaderSnapshot), r.Header.Get(targetapi.HeaderShard)
						reject(w, r, http.StatusServiceUnavailable, targetapi.CodeShed)
					}
				})
			}
			target, refusal := f.relay.Pick(reserve(time.Second), nil)
			is.True(refusal == nil)
			is.Equal(f.relay.Send(t.Context(), reserve(time.Second), target, "a").Outcome, outcome.Rejected)
			return snapshot, shard
		}
		snapshot, _ := sent()
		is.Equal(snapshot, "8")
		f.relay.ApplyHostList([]objstore.ListedHost{{ID: "t0", Leaving: true}})
		snapshot, shard := sent()
		is.Equal(snapshot, "7")
		_, again := sent()
		is.Equal(again, shard)
		f.relay.ApplyHostList([]objstore.ListedHost{{ID: "t1", Leaving: true}})
		_, refusal := f.relay.Pick(reserve(time.Second), nil)
		is.Equal(refusal.Outcome, outcome.NotSent)
		is.Equal(refusal.Reason, query.ReasonNoSnapshot)
	})
}

// No target is picked for a reservation that would wait past its budget, so
// that no claim is made for it.
func TestReservationWithoutAChanceIsRefusedBeforeItsClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(1, 1)
		defer f.close()
		f.targets[0].delay = 200 * time.Millisecond
		for i := range 12 {
			go f.relay.Send(t.Context(), reserve(time.Minute), "t0", strconv.Itoa(i))
		}
		time.Sleep(500 * time.Millisecond)
		_, refusal := f.relay.Pick(reserve(50*time.Millisecond), nil)
		is.Equal(refusal.Reason, query.ReasonOverload)
		is.Equal(refusal.Outcome, outcome.NotSent)
		is.True(refusal.RetryAfter > 0)
		_, refusal = f.relay.Pick(reserve(time.Minute), nil)
		is.True(refusal == nil)
		time.Sleep(time.Minute)
	})
}
