package quarantine

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/objstore"
	"rhubarbwood.example/rhubarbwood/internal/objstore/objstoretest"
)

// kept is a table that is kept in a store.
type kept struct {
	*Table
	*Keeper
}

// runKeepers runs a test with tables that are kept in one store.
func runKeepers(t *testing.T, n int, test func(t *testing.T, store *objstoretest.Platform, all []kept)) {
	synctest.Test(t, func(t *testing.T) {
		store := objstoretest.New()
		var all []kept
		for range n {
			table := newTestTable()
			keeper := NewKeeper(table, store.Client(), event.Discard())
			_ = keeper.Start(t.Context())
			all = append(all, kept{table, keeper})
		}
		test(t, store, all)
		for _, k := range all {
			_ = k.Stop(context.Background())
		}
	})
}

// quarantine puts a request into quarantine by strikes of its own.
func (k kept) quarantine(r Request, first uint64) {
	for i := range uint64(mostStrikes) {
		k.Ended(r, first+i, "s")
	}
}

// stanceOf returns how a table treats a request.
func (k kept) stanceOf(r Request) Stance {
	stance, _ := k.Stance(r)
	return stance
}

// A host that starts when no other can tell it learns of requests in quarantine from the store.
func TestQuarantineOutlivesAllHosts(t *testing.T) {
	runKeepers(t, 2, func(t *testing.T, _ *objstoretest.Platform, all []kept) {
		is := is.New(t)
		all[0].quarantine(testRequest("/x"), 1)
		all[0].Ended(testRequest("/y"), 1, "s") // one strike is not worth a call
		time.Sleep(time.Second)
		is.NoErr(all[1].Read(t.Context()))
		is.Equal(all[1].stanceOf(testRequest("/x")), Quarantined)
		is.Equal(all[1].stanceOf(testRequest("/y")), Free)
	})
}

// Two hosts that could not hear each other put one request into quarantine.
func TestRecordsOfTwoHostsAddUp(t *testing.T) {
	runKeepers(t, 3, func(t *testing.T, _ *objstoretest.Platform, all []kept) {
		is := is.New(t)
		request := testRequest("/x")
		all[0].quarantine(request, 1)
		time.Sleep(time.Second)
		all[1].quarantine(request, 10)
		time.Sleep(time.Second)
		is.NoErr(all[2].Read(t.Context()))
		is.Equal(len(heldOf(all[2].Table, request)), 2*mostStrikes)
	})
}

func TestQuarantineIsWrittenOnceTheStoreIsBack(t *testing.T) {
	runKeepers(t, 2, func(t *testing.T, store *objstoretest.Platform, all []kept) {
		is := is.New(t)
		store.Outage(true)
		all[0].quarantine(testRequest("/x"), 1)
		time.Sleep(time.Minute)
		store.Outage(false)
		time.Sleep(10 * time.Second)
		is.NoErr(all[1].Read(t.Context()))
		is.Equal(all[1].stanceOf(testRequest("/x")), Quarantined)
	})
}

// An operator has cleared the request in the store.
func TestClearedInTheStoreIsCleared(t *testing.T) {
	runKeepers(t, 1, func(t *testing.T, store *objstoretest.Platform, all []kept) {
		is := is.New(t)
		request := testRequest("/x")
		all[0].quarantine(request, 1)
		time.Sleep(time.Minute)
		cleared, err := ClearStored(t.Context(), store.Client(), request.Content())
		is.NoErr(err)
		is.Equal(cleared, 1) // that of the caller; the one of anyone is in no quarantine
		cleared, err = ClearStored(t.Context(), store.Client(), request.Content())
		is.NoErr(err)
		is.Equal(cleared, 0)
		is.NoErr(all[0].Read(t.Context()))
		is.Equal(all[0].stanceOf(request), Alone) // as to anyone: one caller was cleared
	})
}

// A record that can't be read costs none of the others.
func TestUnreadableRecordCostsNoOther(t *testing.T) {
	runKeepers(t, 1, func(t *testing.T, store *objstoretest.Platform, all []kept) {
		is := is.New(t)
		for name, text := range map[string]string{"a": `{"key": 7}`, "b": `null`, "c": `{"key": "ab", "strikes": []}`, "z": `[]`} {
			_, err := store.Client().Put(t.Context(), objstore.KindQuarantine, name, 0, []byte(text))
			is.NoErr(err)
		}
		r := recordOf(testRequest("/x"))
		for i := range uint64(mostStrikes) {
			r.Strikes = append(r.Strikes, strikeOf(i, "s"))
		}
		is.NoErr(Put(t.Context(), store.Client(), 0, r))
		records, unreadable, err := List(t.Context(), store.Client())
		is.NoErr(err)
		is.Equal(len(records), 1)
		is.Equal(len(unreadable), 4)
		is.NoErr(all[0].Read(t.Context()))
		is.Equal(all[0].stanceOf(testRequest("/x")), Quarantined)
	})
}

// The store comes back from a copy without the record. A host that reads it writes again what it holds, so that one that
// starts when no other can tell it knows.
func TestQuarantineOutlivesAnOlderCopyOfTheStore(t *testing.T) {
	runKeepers(t, 3, func(t *testing.T, store *objstoretest.Platform, all []kept) {
		is := is.New(t)
		all[0].quarantine(testRequest("/x"), 1)
		time.Sleep(time.Second)
		is.NoErr(all[1].Read(t.Context()))
		time.Sleep(writtenWithin)
		store.Reset()
		is.NoErr(all[1].Read(t.Context()))
		is.NoErr(all[2].Read(t.Context()))
		is.Equal(all[2].stanceOf(testRequest("/x")), Quarantined)
		puts := store.Calls("put")
		is.NoErr(all[1].Read(t.Context()))
		is.Equal(store.Calls("put"), puts) // once
	})
}
