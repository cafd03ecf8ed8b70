package quarantine

import (
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
			keys := []Key{testKey("/a"), testKey("/b")}
			marks := map[[2]int]Mark{}
			pass := func(from, to int) {
				records, mark := told(tables[from], marks[[2]int{from, to}])
				if rapid.Bool().Draw(rt, "mark kept") { // else it is told all of it again
					marks[[2]int{from, to}] = mark
				}
				tables[to].Merge(records)
			}
			id, strikes := uint64(0), map[Key]int{}
			for range rapid.IntRange(1, 40).Draw(rt, "steps") {
				time.Sleep(2 * sameTime)
				at := rapid.IntRange(0, 2).Draw(rt, "host")
				key := rapid.SampledFrom(keys).Draw(rt, "key")
				switch rapid.IntRange(0, 4).Draw(rt, "step") {
				case 0, 1:
					if strikes[key]++; strikes[key] > keptStrikes {
						continue
					}
					id++
					tables[at].Ended(key, strikeOf(id, "s"))
					tables[at].Share(key)
				case 2:
					tables[at].Answered(key, "s")
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
			for _, key := range keys {
				for _, other := range tables[1:] {
					if a, b := heldOf(tables[0], key), heldOf(other, key); !slices.Equal(a, b) {
						rt.Fatalf("hosts hold %v and %v", a, b)
					}
				}
			}
		})
	})
}

// heldOf returns the strikes that a table holds against a key.
func heldOf(t *Table, k Key) []uint64 {
	r, _ := t.Record(k)
	var ids []uint64
	for _, s := range r.Strikes {
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
		a, b, key := newTestTable(), newTestTable(), testKey("/x")
		a.Ended(key, strikeOf(1, "s"))
		old, ok := a.Share(key)
		is.True(ok)
		b.Merge([]Record{old})
		time.Sleep(time.Minute)
		is.True(a.Answered(key, "s"))
		records, _ := told(a, Mark{})
		b.Merge(records)
		time.Sleep(time.Second)
		b.Merge([]Record{old})
		stance, _ := b.Stance(key)
		is.Equal(stance, Free)
		b.Ended(key, strikeOf(2, "s"))
		is.Equal(heldOf(b, key), []uint64{2})
	})
}

// A host is told what changed since it last asked, and all there is by a process that it has
// not asked yet.
func TestOnlyChangesAreTold(t *testing.T) {
	is := is.New(t)
	table := newTestTable()
	for i := range 3 {
		table.Ended(testKey(fmt.Sprint(i)), strikeOf(1, "s"))
	}
	records, mark := table.Since(Mark{})
	is.Equal(len(records), 0) // they may be cleared by the next attempt
	for i := range 3 {
		table.Share(testKey(fmt.Sprint(i)))
	}
	records, mark = table.Since(mark)
	is.Equal(len(records), 3)
	records, mark = table.Since(mark)
	is.Equal(len(records), 0)
	table.Ended(testKey("1"), strikeOf(2, "s"))
	table.Share(testKey("1"))
	records, mark = table.Since(mark)
	is.Equal(len(records), 1)
	records, _ = table.Since(Mark{Epoch: mark.Epoch + 1, Number: mark.Number})
	is.Equal(len(records), 3)
}

func TestBadRecordsAreLeftOut(t *testing.T) {
	is := is.New(t)
	good := ToWire(Record{Key: testKey("/x"), Strikes: []Strike{strikeOf(1, "s")}}, time.Now())
	for _, bad := range []*peerpb.RequestRecord{nil, {}, {Key: []byte("short")}} {
		is.Equal(len(AllFromWire([]*peerpb.RequestRecord{bad, good}, time.Now())), 1)
	}
}
