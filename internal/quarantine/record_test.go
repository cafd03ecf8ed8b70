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

// told returns what a table has for other hosts after a mark, as it comes over the wire.
func told(t *Table, m Mark) ([]Record, Mark) {
	records, mark := t.Since(m)
	return AllFromWire(AllToWire(records, time.Now()), time.Now()), mark
}

// Hosts tell each other what they hold in any order, more than once and late. In the end all
// hold the same: the strikes of all of them that were not cleared, as many as are kept.
func TestHostsComeToHoldTheSame(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(t *testing.T) {
			tables := []*Table{newTestTable(), newTestTable(), newTestTable()}
			requests := []Request{testRequest("/a"), testRequest("/b")}
			marks := map[[2]int]Mark{}
			pass := func(from, to int) {
				records, mark := told(tables[from], marks[[2]int{from, to}])
				if rapid.Bool().Draw(rt, "mark kept") { // else it is told all of it again
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
					if strikes[request]++; strikes[request] > keptStrikes {
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
			for range 2 { // what one has goes to all, by way of any
				for from := range tables {
					for to := range tables {
						records, _ := told(tables[from], Mark{})
						tables[to].Merge(records)
					}
				}
			}
			for _, request := range requests {
				for _, other := range tables[1:] {
					if a, b := heldOf(tables[0], request), heldOf(other, request); !slices.Equal(a, b) {
						rt.Fatalf("hosts hold %v and %v", a, b)
					}
				}
			}
		})
	})
}

// heldOf returns the strikes that a table holds against the requests of a caller.
func heldOf(t *Table, r Request) []uint64 {
	held, _ := t.knownOf(r.OfCaller)
	var ids []uint64
	for _, s := range held.Strikes {
		ids = append(ids, s.ID)
	}
	slices.Sort(ids)
	return ids
}

// What is cleared on one host is cleared on those that had heard of it, and stays so when an
// old record comes by another way.
func TestClearedStaysCleared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, b, request := newTestTable(), newTestTable(), testRequest("/x")
		a.Ended(request, 1, "s")
		old, _ := told(a, Mark{})
		b.Merge(old)
		time.Sleep(time.Minute)
		is.True(a.Answered(request, "s"))
		records, _ := told(a, Mark{})
		b.Merge(records)
		time.Sleep(time.Second)
		b.Merge(old)
		stance, _ := b.Stance(request)
		is.Equal(stance, Free)
		b.Ended(request, 2, "s")
		is.Equal(heldOf(b, request), []uint64{2})
	})
}

// A host is told what changed since it last asked, and all there is by a process that it has
// not asked yet.
func TestOnlyChangesAreTold(t *testing.T) {
	is := is.New(t)
	table := newTestTable()
	for i := range 3 {
		table.Ended(testRequest(fmt.Sprint(i)), 1, "s")
	}
	records, mark := table.Since(Mark{})
	is.Equal(len(records), 6) // of the caller, and of anyone
	records, mark = table.Since(mark)
	is.Equal(len(records), 0)
	table.Ended(testRequest("1"), 2, "s")
	records, mark = table.Since(mark)
	is.Equal(len(records), 2)
	records, _ = table.Since(Mark{Epoch: mark.Epoch + 1, Number: mark.Number})
	is.Equal(len(records), 6)
}

// What a host finds is told once, all that belongs together at once; what it hears is not.
func TestHostTellsWhatItFinds(t *testing.T) {
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

// A host that starts hears that a strike was cleared before it hears of the strike, from a host that had not been
// told yet. It must not hold the strike, nor hand it on to those that have forgotten that it was cleared.
func TestStrikeClearedBeforeItWasHeardOfIsNotHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		request, started := testRequest("/a"), newTestTable()
		started.Merge([]Record{{Key: request.OfCaller, Cleared: []uint64{1, 2, 3}}})
		started.Merge([]Record{recordOf(request, strikeOf(1, "s"), strikeOf(2, "s"), strikeOf(3, "s"))})
		stance, _ := started.Stance(request)
		is.Equal(stance, Free)

		other := newTestTable()
		other.Merge([]Record{recordOf(request, strikeOf(1, "s"))})
		news, _ := told(started, Mark{})
		other.Merge(news)
		stance, _ = other.Stance(request)
		is.Equal(stance, Free)

		time.Sleep(rememberCleared + time.Second)
		started.Expire()
		is.True(started.Empty()) // it costs nothing for longer
	})
}
