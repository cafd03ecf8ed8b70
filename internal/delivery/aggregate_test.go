package delivery

import (
	"context"
	"crypto/sha256"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/objstore"
	"rhubarbwood.example/rhubarbwood/internal/unit"
)

// Runs long enough for merges into both coarser levels, and for the removal
// past retention.
func TestAggregatesKeepTotalsUntilRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cfg := DefaultConfig()
		cfg.MinInterval = unit.Duration(2 * time.Minute)
		cfg.Retention = unit.Duration(minRetention)
		f := newFleet(t, cfg, 3)
		defer f.stopAll()
		for range 9 * 12 {
			f.record(2)
			f.hosts["h0"].Record(Delivery{RequestID: "refused", Service: f.hosts["h0"].key(), Reason: "overload"})
			f.recorded[f.hosts["h0"].key()]++
			time.Sleep(5 * time.Minute)
		}
		f.leave("h1", false)
		f.leave("h2", false)
		time.Sleep(15 * time.Minute)

		is.True(len(f.platform.Objects(objstore.KindWindow)) < 30) // 810 were written
		is.True(len(f.platform.Objects(levels[0].kind)) <= 20)
		is.True(len(f.platform.Objects(levels[1].kind)) <= 12*8)
		is.True(len(f.platform.Objects(levels[2].kind)) >= 2)
		r := f.report(11 * time.Hour)
		is.Equal(f.differences(r), nil)
		is.True(r.Completeness.Complete())
		records, _, err := f.reporter().Records(context.Background(), 11*time.Hour, func(r Record) bool { return r.Request == "refused" })
		is.NoErr(err)
		is.Equal(len(records), 9*12)
		is.Equal(records[0].Host, "h0")

		time.Sleep(minRetention + 2*time.Hour)
		is.Equal(f.report(11*time.Hour).Total(), uint64(0))
		oldest := time.Now().Add(-minRetention - levels[2].slot - 5*time.Minute)
		for _, kind := range []string{kindIndex, levels[0].kind, levels[1].kind, levels[2].kind, objstore.KindRecord, objstore.KindWindow} {
			for _, o := range f.platform.Objects(kind) {
				is.True(o.Created.After(oldest)) // what is past retention is gone
			}
		}
	})
}

// Deletes windows from the platform. The report must list them as missing.
func TestReportNamesLostWindows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, DefaultConfig(), 1)
		f.record(1)
		time.Sleep(time.Minute)
		i := Incarnation{Host: "h0", Number: 1}
		for _, number := range []uint64{0, 2, 3} {
			is.NoErr(f.platform.Client().Delete(t.Context(), objstore.KindWindow, windowName(i, number), 1))
		}
		f.stopAll()
		c := f.report(time.Hour).Completeness
		is.Equal(c.Missing, []Gap{{Incarnation: i, First: 0, Last: 0}, {Incarnation: i, First: 2, Last: 3}})
		is.True(!c.Complete())
	})
}

// Starts a host during a platform outage and kills it before the outage ends.
// Another host has seen it, so the report must list it.
func TestReportNamesHostsThatNeverWrote(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, DefaultConfig(), 1)
		time.Sleep(time.Minute)
		f.platform.SetDown(true)
		f.start("h1")
		f.record(5)
		time.Sleep(time.Minute)
		f.leave("h1", true)
		f.platform.SetDown(false)
		time.Sleep(time.Minute)
		f.stopAll()
		c := f.report(time.Hour).Completeness
		is.Equal(c.Incomplete, []IncompleteIncarnation{{Incarnation: Incarnation{Host: "h1", Number: 2}, Reason: NeverWrote}})
	})
}

// Records more keys and refusals on a host than it may hold, during a platform
// outage of three hours.
func TestMemoryIsBoundedThroughAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cfg := DefaultConfig()
		cfg.MaxKeys, cfg.MaxExceptions = 100, 50
		f := newFleet(t, cfg, 1)
		h := f.hosts["h0"]
		f.platform.SetDown(true)
		for i := range 3 * 360 {
			d := delivery(h.key(), 0)
			d.Caller, d.Reason = time.Duration(i).String(), "overload"
			for range 3 {
				h.Record(d)
				f.recorded[h.key()]++
			}
			time.Sleep(10 * time.Second)
		}
		synctest.Wait() // wait until the host is idle
		is.True(len(h.queue.items) <= cfg.MaxPending)
		for _, p := range h.queue.items {
			is.True(len(p.window.Rows.byKey) <= cfg.MaxKeys+cfg.MaxKeys/4+1)
			is.True(len(p.window.Records.all()) <= cfg.MaxExceptions)
		}
		f.platform.SetDown(false)
		f.stopAll()
		r := f.report(6 * time.Hour)
		is.Equal(f.differences(r), nil) // no delivery is lost
		is.True(r.Completeness.FoldedDeliveries > 0)
		is.True(r.Completeness.DroppedRecords > 0)
	})
}

// Fills a window far beyond the size limit of an object.
func TestHugeWindowFitsOneObject(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	cfg.MaxKeys, cfg.MaxExceptions = 20_000, 20_000
	w := newWindow(Incarnation{Host: "h0", Number: 1})
	const n = 20_000
	for i := range n {
		d := delivery("s", i)
		d.Caller = fmt.Sprintf("%x", sha256.Sum256([]byte{byte(i), byte(i >> 8)})) // cannot be compressed
		d.RequestID = d.Caller
		d.Coverage = 0.5
		w.Rows.record(d, cfg.MaxKeys)
		w.Records.record(d, cfg)
	}
	value, err := encodeWindow(w)
	is.NoErr(err)
	is.True(len(value) <= objstore.MaxValue)
	read, rows, err := decodeWindow(value)
	is.NoErr(err)
	read.Rows.addMessage(rows, n)
	is.Equal(read.Rows.count(), uint64(n))
	is.Equal(uint64(len(read.Records.all()))+read.Records.leftOut(), uint64(n))
	is.True(read.Records.leftOut() > 0)
}
