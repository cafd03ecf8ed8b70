package quarantine

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/clock"
	"rhubarbwood.example/rhubarbwood/internal/event"
)

func newTestTable() *Table { return NewTable(DefaultConfig(), event.Discard()) }

// testRequest returns a request of one caller.
func testRequest(path string) Request { return requestOf("10.0.0.1", path) }

// requestOf returns a request of a caller.
func requestOf(caller, path string) Request {
	return NewRequest(caller, "GET", "a.example", path, nil)
}

// strikeOf returns a strike dated now.
func strikeOf(id uint64, service string) Strike {
	return Strike{ID: id, Services: []string{service}, At: time.Now()}
}

// recordOf returns a record of the caller's requests with the given strikes.
func recordOf(r Request, strikes ...Strike) Record { return Record{Key: r.OfCaller, Strikes: strikes} }

// farFuture is later than any attempt in the tests waits.
func farFuture() time.Time { return time.Now().Add(time.Hour) }

func TestThreeStrikesPutARequestIntoQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table, request := newTestTable(), testRequest("/x")
		for n, want := range []Status{OneAtATime, OneAtATime, Quarantined} {
			time.Sleep(time.Second)
			is.Equal(table.Ended(request, uint64(n), "s"), want == Quarantined)
			status, _ := table.Status(request)
			is.Equal(status, want)
		}
		other, _ := table.Status(testRequest("/y"))
		is.Equal(other, Free)
	})
}

// Parts of a query that end their targets with one strike id count as one strike, however many
// hosts gather them.
func TestTargetsThatEndTogetherAreOneStrike(t *testing.T) {
	is := is.New(t)
	table, request := newTestTable(), testRequest("/x")
	for i := range 30 {
		is.True(!table.Ended(request, 7, fmt.Sprint(i)))
	}
	table.Merge([]Record{recordOf(request, strikeOf(7, "elsewhere"))})
	is.Equal(table.Strikes(request), 1)
	is.Equal(len(table.Known(request)[0].Strikes[0].Services), maxServices)
}

// After the quarantine one attempt at a time is admitted; each further strike quarantines the
// request for four times longer.
func TestFurtherQuarantinesLastLonger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table, request := newTestTable(), testRequest("/x")
		for i := range uint64(2) {
			table.Ended(request, i, "s")
		}
		hold := defaultHold
		for i := range uint64(3) {
			table.Ended(request, 10+i, "s")
			time.Sleep(hold - time.Second)
			status, left := table.Status(request)
			is.Equal(status, Quarantined)
			is.Equal(left, time.Second)
			time.Sleep(2 * time.Second)
			status, _ = table.Status(request)
			is.Equal(status, OneAtATime)
			hold *= holdGrowthFactor
		}
	})
}

func TestSuspectIsTriedByOneAttemptAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table, request := newTestTable(), testRequest("/x")
		a := Attempt{Request: request, Service: "s", Among: []string{"s", "t"}}
		alone, err := table.Admit(t.Context(), a, farFuture())
		is.NoErr(err)
		is.True(!alone) // there are no strikes against it
		table.Ended(request, 1, "s")
		alone, err = table.Admit(t.Context(), a, farFuture())
		is.NoErr(err)
		is.True(alone)
		_, err = table.Admit(t.Context(), a, time.Now().Add(time.Second))
		is.True(errors.Is(err, ErrBusy))
		ended, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = table.Admit(ended, a, farFuture())
		is.True(errors.Is(err, context.DeadlineExceeded))
		go func() {
			time.Sleep(time.Second)
			table.Release(request)
		}()
		alone, err = table.Admit(t.Context(), a, farFuture())
		is.NoErr(err)
		is.True(alone) // the attempt before has ended
	})
}

// An attempt at a service whose targets did not end shows nothing about one whose target ended.
func TestSuspectIsTriedWhereATargetEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table, request := newTestTable(), testRequest("/x")
		table.Ended(request, 1, "s")
		among := []string{"s", "t"}
		_, err := table.Admit(t.Context(), Attempt{Request: request, Service: "t", Among: among}, time.Now().Add(time.Second))
		is.True(errors.Is(err, ErrBusy))
		is.True(!table.Answered(request, "t"))
		alone, err := table.Admit(t.Context(), Attempt{Request: request, Service: "s", Among: among}, farFuture())
		is.NoErr(err)
		is.True(alone)
		is.True(table.Answered(request, "s"))
		status, _ := table.Status(request)
		is.Equal(status, Free)
		table.Release(request)
		time.Sleep(time.Second)
		// If none of the services has a strike, an attempt at any of them is admitted.
		table.Ended(request, 2, "gone")
		alone, err = table.Admit(t.Context(), Attempt{Request: request, Service: "t", Among: among}, farFuture())
		is.NoErr(err)
		is.True(alone)
	})
}

// Waiting attempts are admitted after an answer that clears the request, and refused after the
// third strike.
func TestWaitingAttemptsObserveTheOutcome(t *testing.T) {
	for name, c := range map[string]struct {
		verdict func(*Table, Request)
		err     error
	}{
		"answered": {func(t *Table, r Request) {
			t.Answered(r, "s")
			t.Answered(r, "s")
		}, nil},
		"quarantined": {func(t *Table, r Request) { t.Ended(r, 3, "s") }, ErrQuarantined},
		"received": {func(t *Table, r Request) {
			t.Merge([]Record{recordOf(r, strikeOf(8, "s"), strikeOf(9, "s"))})
		}, ErrQuarantined},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				table, request := newTestTable(), testRequest("/x")
				table.Ended(request, 1, "s")
				table.Ended(request, 2, "s")
				a := Attempt{Request: request, Service: "s"}
				_, err := table.Admit(t.Context(), a, farFuture())
				is.NoErr(err)
				go func() {
					time.Sleep(time.Second)
					c.verdict(table, request)
				}()
				alone, err := table.Admit(t.Context(), a, farFuture())
				is.True(errors.Is(err, c.err))
				is.True(!alone)
			})
		})
	}
}

// Many requests with single strikes do not displace a quarantined one.
func TestTableIsBounded(t *testing.T) {
	is := is.New(t)
	table, request := newTestTable(), testRequest("/x")
	for i := range uint64(3) {
		table.Ended(request, i, "s")
	}
	for i := range 3 * maxSuspects {
		table.Ended(testRequest(fmt.Sprint(i)), 1, "s")
	}
	is.Equal(len(table.suspects), maxSuspects)
	is.Equal(table.QuarantinedKeys(), []Key{request.OfCaller})
}

func TestStrikesExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := newTestTable()
		table.Ended(testRequest("/once"), 1, "s")
		for i := range uint64(3) {
			table.Ended(testRequest("/held"), i, "s")
		}
		time.Sleep(strikeRetention + time.Second)
		table.Expire()
		status, _ := table.Status(testRequest("/once"))
		is.Equal(status, Free)
		status, _ = table.Status(testRequest("/held"))
		is.Equal(status, OneAtATime)
		time.Sleep(defaultHold)
		table.Expire()
		is.True(table.Empty())
		// Cleared strikes expire soon, so that requests need not be looked up any more.
		table.Ended(testRequest("/x"), 1, "s")
		time.Sleep(time.Second)
		is.True(table.Answered(testRequest("/x"), "s"))
		time.Sleep(clearedRetention + time.Second)
		table.Expire()
		is.True(table.Empty())
	})
}

// One caller with many addresses ends targets by repeating a request from each of them.
func TestContentThatEndsTargetsForSeveralCallersIsQuarantinedForAnyone(t *testing.T) {
	is := is.New(t)
	table := newTestTable()
	for i := range uint64(2) {
		is.True(!table.Ended(requestOf(fmt.Sprint("10.0.0.", i), "/x"), i, "s"))
	}
	is.True(table.Ended(requestOf("10.0.0.7", "/x"), 7, "s"))
	status, _ := table.Status(requestOf("10.0.0.8", "/x"))
	is.Equal(status, Quarantined)
	status, _ = table.Status(requestOf("10.0.0.8", "/y"))
	is.Equal(status, Free)
}

// A request that ends targets only for one caller is answered for others, whose attempts are
// admitted one at a time for a while.
func TestContentOfOneCallerIsNotQuarantinedForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table, bad, good := newTestTable(), requestOf("10.0.0.1", "/x"), requestOf("10.0.0.2", "/x")
		for i := range uint64(quarantineStrikes) {
			table.Ended(bad, i, "s")
		}
		status, _ := table.Status(bad)
		is.Equal(status, Quarantined)
		for range quarantineStrikes {
			status, _ = table.Status(good)
			is.Equal(status, OneAtATime)
			is.True(table.Answered(good, "s"))
		}
		status, _ = table.Status(good)
		is.Equal(status, Free)
		status, _ = table.Status(bad)
		is.Equal(status, Quarantined)
	})
}

// Targets end under the request two times out of three: strikes accumulate nevertheless.
func TestRequestThatIsAnsweredNowAndThenIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table, request := newTestTable(), testRequest("/x")
		for i := range uint64(7) {
			time.Sleep(time.Second)
			if i%3 == 2 {
				table.Answered(request, "s")
				continue
			}
			table.Ended(request, i, "s")
		}
		status, _ := table.Status(request)
		is.Equal(status, Quarantined)
	})
}

// A nil table has no records.
func TestNilTableIsEmpty(t *testing.T) {
	is := is.New(t)
	var table *Table
	is.True(table.Empty())
	records, _ := table.Since(Mark{})
	is.Equal(len(records), 0)
}

// However often targets end under a request, the newest strikes count.
func TestNewestStrikesAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table, request := newTestTable(), testRequest("/x")
		for i := range uint64(3 * maxStrikes) {
			time.Sleep(maxHold)
			table.Ended(request, i, "s")
		}
		status, left := table.Status(request)
		is.Equal(status, Quarantined)
		is.Equal(left, maxHold)
	})
}

// Strikes from hosts that had not received the quarantine yet do not extend it.
func TestStrikesOfOneQuarantineDoNotLengthenIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table, request := newTestTable(), testRequest("/x")
		for i := range uint64(maxStrikes) {
			table.Ended(request, i, "s")
		}
		_, left := table.Status(request)
		is.Equal(left, defaultHold)
	})
}

// The time in which the machine is suspended counts towards the quarantine.
func TestHoldCountsTheTimeInWhichTheMachineIsSuspended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table, request := newTestTable(), testRequest("/x")
		machine, suspend := clock.NewVirtual()
		table.SetClock(machine)
		for i := range uint64(quarantineStrikes) {
			table.Ended(request, i, "s")
		}
		suspend(defaultHold - time.Second)
		status, left := table.Status(request)
		is.Equal(status, Quarantined)
		is.Equal(left, time.Second)
		suspend(time.Second)
		status, _ = table.Status(request)
		is.Equal(status, OneAtATime)
	})
}

// Strikes in the store are dated by the clock of the host that wrote them, which may be ahead: a
// strike dated in the future must not quarantine a request for longer than one dated now.
func TestStrikesOfAClockThatIsAheadHoldNoLonger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table, request := newTestTable(), testRequest("/x")
		var ahead []Strike
		for i := range uint64(quarantineStrikes) {
			strike := strikeOf(i, "s")
			strike.At = time.Now().Add(24 * time.Hour)
			ahead = append(ahead, strike)
		}
		table.Merge([]Record{recordOf(request, ahead...)})
		status, left := table.Status(request)
		is.Equal(status, Quarantined)
		is.Equal(left, defaultHold)
	})
}
