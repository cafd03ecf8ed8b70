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

// storedTable is a table with its keeper.
type storedTable struct {
	*Table
	*Keeper
}

// runKeepers runs a test with tables whose keepers share one store.
func runKeepers(t *testing.T, n int, test func(t *testing.T, store *objstoretest.Platform, all []storedTable)) {
	synctest.Test(t, func(t *testing.T) {
		store := objstoretest.New()
		var all []storedTable
		for range n {
			table := newTestTable()
			keeper := NewKeeper(table, store.Client(), event.Discard())
			_ = keeper.Start(t.Context())
			all = append(all, storedTable{table, keeper})
		}
		test(t, store, all)
		for _, k := range all {
			_ = k.Stop(context.Background())
		}
	})
}

// quarantine quarantines a request by strikes with ids from first on.
func (k storedTable) quarantine(r Request, first uint64) {
	for i := range uint64(quarantineStrikes) {
		k.Ended(r, first+i, "s")
	}
}

// status returns how a table admits attempts of a request.
func (k storedTable) status(r Request) Status {
	status, _ := k.Status(r)
	return status
}

// A host that starts while no other host can send it the records reads them from the store.
func TestQuarantineOutlivesAllHosts(t *testing.T) {
	runKeepers(t, 2, func(t *testing.T, _ *objstoretest.Platform, all []storedTable) {
		is := is.New(t)
		all[0].quarantine(testRequest("/x"), 1)
		all[0].Ended(testRequest("/y"), 1, "s") // one strike is not stored
		time.Sleep(time.Second)
		is.NoErr(all[1].Read(t.Context()))
		is.Equal(all[1].status(testRequest("/x")), Quarantined)
		is.Equal(all[1].status(testRequest("/y")), Free)
	})
}

// Two hosts that could not reach each other quarantine the same request.
func TestRecordsOfTwoHostsAddUp(t *testing.T) {
	runKeepers(t, 3, func(t *testing.T, _ *objstoretest.Platform, all []storedTable) {
		is := is.New(t)
		request := testRequest("/x")
		all[0].quarantine(request, 1)
		time.Sleep(time.Second)
		all[1].quarantine(request, 10)
		time.Sleep(time.Second)
		is.NoErr(all[2].Read(t.Context()))
		is.Equal(len(strikeIDs(all[2].Table, request)), 2*quarantineStrikes)
	})
}

func TestQuarantineIsWrittenOnceTheStoreIsBack(t *testing.T) {
	runKeepers(t, 2, func(t *testing.T, store *objstoretest.Platform, all []storedTable) {
		is := is.New(t)
		store.SetDown(true)
		all[0].quarantine(testRequest("/x"), 1)
		time.Sleep(time.Minute)
		store.SetDown(false)
		time.Sleep(10 * time.Second)
		is.NoErr(all[1].Read(t.Context()))
		is.Equal(all[1].status(testRequest("/x")), Quarantined)
	})
}

// An operator clears the request in the store.
func TestClearedInTheStoreIsCleared(t *testing.T) {
	runKeepers(t, 1, func(t *testing.T, store *objstoretest.Platform, all []storedTable) {
		is := is.New(t)
		request := testRequest("/x")
		all[0].quarantine(request, 1)
		time.Sleep(time.Minute)
		cleared, err := ClearStored(t.Context(), store.Client(), request.Content())
		is.NoErr(err)
		is.Equal(cleared, 1) // the caller's key; the key of any caller is not quarantined
		cleared, err = ClearStored(t.Context(), store.Client(), request.Content())
		is.NoErr(err)
		is.Equal(cleared, 0)
		is.NoErr(all[0].Read(t.Context()))
		is.Equal(all[0].status(request), OneAtATime) // by the key of any caller: only one caller was cleared
	})
}

// An invalid record does not affect the others.
func TestUnreadableRecordCostsNoOther(t *testing.T) {
	runKeepers(t, 1, func(t *testing.T, store *objstoretest.Platform, all []storedTable) {
		is := is.New(t)
		for name, text := range map[string]string{"a": `{"key": 7}`, "b": `null`, "c": `{"key": "ab", "strikes": []}`, "z": `[]`} {
			_, err := store.Client().Put(t.Context(), objstore.KindQuarantine, name, 0, []byte(text))
			is.NoErr(err)
		}
		r := recordOf(testRequest("/x"))
		for i := range uint64(quarantineStrikes) {
			r.Strikes = append(r.Strikes, strikeOf(i, "s"))
		}
		is.NoErr(Put(t.Context(), store.Client(), 0, r))
		records, unreadable, err := List(t.Context(), store.Client())
		is.NoErr(err)
		is.Equal(len(records), 1)
		is.Equal(len(unreadable), 4)
		is.NoErr(all[0].Read(t.Context()))
		is.Equal(all[0].status(testRequest("/x")), Quarantined)
	})
}

// The store is restored from a copy without the record. A host that reads it writes its own record again, for
// hosts that start while no other can send it to them.
func TestQuarantineOutlivesAnOlderCopyOfTheStore(t *testing.T) {
	runKeepers(t, 3, func(t *testing.T, store *objstoretest.Platform, all []storedTable) {
		is := is.New(t)
		all[0].quarantine(testRequest("/x"), 1)
		time.Sleep(time.Second)
		is.NoErr(all[1].Read(t.Context()))
		time.Sleep(maxWriteDelay)
		store.Reset()
		is.NoErr(all[1].Read(t.Context()))
		is.NoErr(all[2].Read(t.Context()))
		is.Equal(all[2].status(testRequest("/x")), Quarantined)
		puts := store.Calls("put")
		is.NoErr(all[1].Read(t.Context()))
		is.Equal(store.Calls("put"), puts) // once
	})
}
