package quarantine

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/event"
)

func newTestTable() *Table { return NewTable(DefaultConfig(), event.Discard()) }

// testKey returns the key of a request.
func testKey(path string) Key { return KeyOf("10.0.0.1", "GET", "a.example", path, nil) }

// strikeOf returns a strike with an id, now.
func strikeOf(id uint64, service string) Strike {
	return Strike{ID: id, Services: []string{service}, At: time.Now()}
}

// afar is later than any attempt of the tests waits.
func afar() time.Time { return time.Now().Add(time.Hour) }

func TestThreeStrikesPutARequestIntoQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table, key := newTestTable(), testKey("/x")
		for n, want := range []Stance{Alone, Alone, Quarantined} {
			time.Sleep(time.Second)
			is.Equal(table.Ended(key, strikeOf(uint64(n), "s")), n+1)
			stance, _ := table.Stance(key)
			is.Equal(stance, want)
		}
		other, _ := table.Stance(testKey("/y"))
		is.Equal(other, Free)
	})
}

// All parts of a query that end their targets at one blow are one strike, however many hosts
// gather them.
func TestWhatEndsAtOneBlowIsOneStrike(t *testing.T) {
	is := is.New(t)
	table, key := newTestTable(), testKey("/x")
	for i := range 30 {
		is.Equal(table.Ended(key, strikeOf(7, fmt.Sprint(i))), 1)
	}
	table.Merge([]Record{{Key: key, Strikes: []Strike{strikeOf(7, "elsewhere")}}})
	record, _ := table.Record(key)
	is.Equal(len(record.Strikes), 1)
	is.Equal(len(record.Strikes[0].Services), mostServices)
}

// After the quarantine the request is tried by one attempt; each further strike holds it four
// times longer.
func TestQuarantineGrows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table, key := newTestTable(), testKey("/x")
		for i := range uint64(2) {
			table.Ended(key, strikeOf(i, "s"))
		}
		hold := defaultHold
		for i := range uint64(3) {
			table.Ended(key, strikeOf(10+i, "s"))
			time.Sleep(hold - time.Second)
			stance, until := table.Stance(key)
			is.Equal(stance, Quarantined)
			is.Equal(time.Until(until), time.Second)
			time.Sleep(2 * time.Second)
			stance, _ = table.Stance(key)
			is.Equal(stance, Alone)
			hold *= holdGrowth
		}
	})
}

func TestSuspectIsTriedByOneAttemptAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table, key := newTestTable(), testKey("/x")
		a := Attempt{Key: key, Service: "s", Among: []string{"s", "t"}}
		alone, err := table.Admit(t.Context(), a, afar())
		is.NoErr(err)
		is.True(!alone) // nothing is held against it
		table.Ended(key, strikeOf(1, "s"))
		alone, err = table.Admit(t.Context(), a, afar())
		is.NoErr(err)
		is.True(alone)
		_, err = table.Admit(t.Context(), a, time.Now().Add(time.Second))
		is.True(errors.Is(err, ErrBusy))
		ended, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = table.Admit(ended, a, afar())
		is.True(errors.Is(err, context.DeadlineExceeded))
		go func() {
			time.Sleep(time.Second)
			table.Left(key)
		}()
		alone, err = table.Admit(t.Context(), a, afar())
		is.NoErr(err)
		is.True(alone) // the one before has left
	})
}

// An attempt at a shard whose targets stand says nothing of one at a shard whose target ended.
func TestSuspectIsTriedWhereATargetEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table, key := newTestTable(), testKey("/x")
		table.Ended(key, strikeOf(1, "s"))
		among := []string{"s", "t"}
		_, err := table.Admit(t.Context(), Attempt{Key: key, Service: "t", Among: among}, time.Now().Add(time.Second))
		is.True(errors.Is(err, ErrBusy))
		is.True(!table.Answered(key, "t"))
		alone, err := table.Admit(t.Context(), Attempt{Key: key, Service: "s", Among: among}, afar())
		is.NoErr(err)
		is.True(alone)
		is.True(table.Answered(key, "s"))
		is.True(table.Empty())
		// Where the services are others now, any of them will do.
		table.Ended(key, strikeOf(2, "gone"))
		alone, err = table.Admit(t.Context(), Attempt{Key: key, Service: "t", Among: among}, afar())
		is.NoErr(err)
		is.True(alone)
	})
}

// What waits for its turn is let go by an answer, and turned away by the third strike.
func TestWaitingAttemptsHearOfTheVerdict(t *testing.T) {
	for name, c := range map[string]struct {
		verdict func(*Table, Key)
		err     error
	}{
		"answered":    {func(t *Table, k Key) { t.Answered(k, "s") }, nil},
		"quarantined": {func(t *Table, k Key) { t.Ended(k, strikeOf(3, "s")) }, ErrQuarantined},
		"told": {func(t *Table, k Key) {
			t.Merge([]Record{{Key: k, Strikes: []Strike{strikeOf(8, "s"), strikeOf(9, "s")}}})
		}, ErrQuarantined},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				table, key := newTestTable(), testKey("/x")
				table.Ended(key, strikeOf(1, "s"))
				table.Ended(key, strikeOf(2, "s"))
				a := Attempt{Key: key, Service: "s"}
				_, err := table.Admit(t.Context(), a, afar())
				is.NoErr(err)
				go func() {
					time.Sleep(time.Second)
					c.verdict(table, key)
				}()
				alone, err := table.Admit(t.Context(), a, afar())
				is.True(errors.Is(err, c.err))
				is.True(!alone)
			})
		})
	}
}

// A flood of requests under which targets ended does not push out those in quarantine.
func TestTableIsBounded(t *testing.T) {
	is := is.New(t)
	table, key := newTestTable(), testKey("/x")
	for i := range uint64(3) {
		table.Ended(key, strikeOf(i, "s"))
	}
	for i := range 3 * mostSuspects {
		table.Ended(testKey(fmt.Sprint(i)), strikeOf(1, "s"))
	}
	is.Equal(len(table.suspects), mostSuspects)
	is.Equal(table.Held(), []Key{key})
}

func TestWhatIsHeldLapses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := newTestTable()
		table.Ended(testKey("/once"), strikeOf(1, "s"))
		for i := range uint64(3) {
			table.Ended(testKey("/held"), strikeOf(i, "s"))
		}
		time.Sleep(remember + time.Second)
		table.Expire(time.Now())
		stance, _ := table.Stance(testKey("/once"))
		is.Equal(stance, Free)
		stance, _ = table.Stance(testKey("/held"))
		is.Equal(stance, Alone)
		time.Sleep(defaultHold)
		table.Expire(time.Now())
		is.True(table.Empty())
	})
}

// Without a table nothing is held against any request.
func TestNoTableHoldsNothing(t *testing.T) {
	is := is.New(t)
	var table *Table
	is.True(table.Empty())
	records, _ := table.Since(Mark{})
	is.Equal(len(records), 0)
}

// However often targets end under a request, the newest times count.
func TestNewestStrikesAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table, key := newTestTable(), testKey("/x")
		for i := range uint64(3 * keptStrikes) {
			time.Sleep(longestHold)
			is.True(table.Ended(key, strikeOf(i, "s")) <= keptStrikes)
		}
		stance, until := table.Stance(key)
		is.Equal(stance, Quarantined)
		is.Equal(time.Until(until), longestHold)
	})
}

// Strikes of hosts that had not heard of the quarantine yet do not make it longer.
func TestStrikesOfOneQuarantineDoNotLengthenIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table, key := newTestTable(), testKey("/x")
		for i := range uint64(keptStrikes) {
			table.Ended(key, strikeOf(i, "s"))
		}
		_, until := table.Stance(key)
		is.Equal(time.Until(until), defaultHold)
	})
}
