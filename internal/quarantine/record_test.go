package quarantine

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
)

// exportSince returns the records that a table has for other hosts after a mark, as they are
// received over the wire.
func exportSince(t *Table, m Mark) ([]Record, Mark) {
	records, mark := t.Since(m)
	return AllFromWire(AllToWire(records, time.Now()), time.Now()), mark
}

// Hosts send each other their records in any order, repeatedly and late. In the end all hold the
// same strikes: those that were not cleared, up to the bound.
func TestHostsComeToHoldTheSame(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(t *testing.T) {
			tables := []*Table{newTestTable(), newTestTable(), newTestTable()}
			requests := []Request{testRequest("/a"), testRequest("/b")}
			marks := map[[2]int]Mark{}
			pass := func(from, to int) {
				records, mark := exportSince(tables[from], marks[[2]int{from, to}])
				if rapid.Bool().Draw(rt, "mark kept") { // otherwise it receives all of them again
					marks[[2]int{from, to}] = mark
				}
				tables[to].Merge(records)
			}
			id, strikes := uint64(0), map[Request]int{}
			for range rapid.IntRange(1, 40).Draw(rt, "steps") {
				time.Sleep(time.Second)
				at := rapid.IntRange(0, 2).Draw(rt, "host")
				request := rapid.SampledFrom(requests).Draw(rt, "request")
				switch rapid.IntRange(0, 4).Draw(rt, "step") {
				case 0, 1:
					if strikes[request]++; strikes[request] > maxStrikes {
						continue
					}
					id++
					tables[at].Ended(request, id, "s")
				case 2:
					tables[at].Answered(request, "s")
				default:
					pass(at, rapid.IntRange(0, 2).Draw(rt, "to"))
				}
			}
			for range 2 { // records reach every host, possibly by way of another
				for from := range tables {
					for to := range tables {
						records, _ := exportSince(tables[from], Mark{})
						tables[to].Merge(records)
					}
				}
			}
			for _, request := range requests {
				for _, other := range tables[1:] {
					if a, b := strikeIDs(tables[0], request), strikeIDs(other, request); !slices.Equal(a, b) {
						rt.Fatalf("hosts hold %v and %v", a, b)
					}
				}
			}
		})
	})
}

// strikeIDs returns the ids of a table's strikes against the requests of a caller.
func strikeIDs(t *Table, r Request) []uint64 {
	record, _ := t.lookup(r.OfCaller)
	var ids []uint64
	for _, s := range record.Strikes {
		ids = append(ids, s.ID)
	}
	slices.Sort(ids)
	return ids
}

// A strike that one host clears is cleared on those that received it, and stays so when an old
// record arrives from elsewhere.
func TestClearedStaysCleared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, b, request := newTestTable(), newTestTable(), testRequest("/x")
		a.Ended(request, 1, "s")
		old, _ := exportSince(a, Mark{})
		b.Merge(old)
		time.Sleep(time.Minute)
		is.True(a.Answered(request, "s"))
		records, _ := exportSince(a, Mark{})
		b.Merge(records)
		time.Sleep(time.Second)
		b.Merge(old)
		status, _ := b.Status(request)
		is.Equal(status, Free)
		b.Ended(request, 2, "s")
		is.Equal(strikeIDs(b, request), []uint64{2})
	})
}

// A host receives the records that changed since its last request, and all records from a process
// that it did not follow before.
func TestSinceReturnsOnlyChanges(t *testing.T) {
	is := is.New(t)
	table := newTestTable()
	for i := range 3 {
		table.Ended(testRequest(fmt.Sprint(i)), 1, "s")
	}
	records, mark := table.Since(Mark{})
	is.Equal(len(records), 6) // of the caller, and of any caller
	records, mark = table.Since(mark)
	is.Equal(len(records), 0)
	table.Ended(testRequest("1"), 2, "s")
	records, mark = table.Since(mark)
	is.Equal(len(records), 2)
	records, _ = table.Since(Mark{Epoch: mark.Epoch + 1, Number: mark.Number})
	is.Equal(len(records), 6)
}

// A host sends each change of its own once, changes in quick succession together; changes that it
// received are not sent.
func TestHostSendsItsOwnChangesOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := newTestTable()
		table.Merge([]Record{recordOf(testRequest("/heard"), strikeOf(1, "s"))})
		for i := range 100 {
			table.Ended(testRequest("/x"), uint64(i), fmt.Sprint(i))
		}
		is.Equal(len(table.NextOwn(t.Context())), 2)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		is.Equal(len(table.NextOwn(ctx)), 0)
		table.Answered(testRequest("/x"), "99")
		is.Equal(len(table.NextOwn(t.Context())), 2)
	})
}

func TestBadRecordsAreLeftOut(t *testing.T) {
	is := is.New(t)
	good := ToWire(recordOf(testRequest("/x"), strikeOf(1, "s")), time.Now())
	for _, bad := range []*peerpb.RequestRecord{nil, {}, {Key: []byte("short")}, {Key: good.Key, Strikes: []*peerpb.Strike{{Id: 1}}}} {
		is.Equal(len(AllFromWire([]*peerpb.RequestRecord{bad, good}, time.Now())), 1)
	}
}

// A host that has just started receives a clear before the strike, which a host without the clear
// sends. It must neither add the strike nor send it to hosts that no longer keep the clear.
func TestStrikeClearedBeforeItWasHeardOfIsNotHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		request, started := testRequest("/a"), newTestTable()
		started.Merge([]Record{{Key: request.OfCaller, Cleared: []uint64{1, 2, 3}}})
		started.Merge([]Record{recordOf(request, strikeOf(1, "s"), strikeOf(2, "s"), strikeOf(3, "s"))})
		status, _ := started.Status(request)
		is.Equal(status, Free)

		other := newTestTable()
		other.Merge([]Record{recordOf(request, strikeOf(1, "s"))})
		news, _ := exportSince(started, Mark{})
		other.Merge(news)
		status, _ = other.Status(request)
		is.Equal(status, Free)

		time.Sleep(clearedRetention + time.Second)
		started.Expire()
		is.True(started.Empty()) // the clear is not kept for longer
	})
}
