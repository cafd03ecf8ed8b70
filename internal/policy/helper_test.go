package policy

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestQueriesAreHandedOverWhereTheLinkBinds(t *testing.T) {
	const objective = 150 * time.Millisecond
	const kilobyte = 1000
	for name, x := range map[string]struct {
		own, helper float64
		bytes       int
		want        bool
	}{
		"narrow link, many parts":   {14, 140, 36 * 1300, true},
		"narrow link, few parts":    {14, 140, 4 * kilobyte, false},
		"wide link":                 {1000, 10000, 36 * 1300, false},
		"no wider helper":           {14, 28, 36 * 1300, false},
		"own link not known":        {0, 140, 36 * 1300, false},
		"helper's link not known":   {14, 0, 36 * 1300, false},
		"wide link, very many":      {140, 1000, 500 * 4 * kilobyte, true},
		"narrow link, large answer": {14, 140, 20 * kilobyte, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(HandsOver(x.own, x.helper, x.bytes, objective), x.want)
			is.True(!HandsOver(x.own, x.helper, x.bytes, 0)) // a route without an objective
		})
	}
}

func TestLostHelperIsSetAsideLonger(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	var h Helper
	backedOff := func(after time.Duration) bool { return h.Barred(now.Add(after)) }
	is.True(!backedOff(0))
	h.Sent()
	h.Ended(now, false)
	is.True(backedOff(minHelperBackOff - 1))
	is.True(!backedOff(minHelperBackOff))
	h.Sent()
	h.Ended(now, false)
	is.True(backedOff(2*minHelperBackOff - 1))
	is.True(!backedOff(2 * minHelperBackOff))
	h.Sent()
	h.Ended(now, true)
	h.Sent()
	h.Ended(now, false)
	is.True(!backedOff(minHelperBackOff)) // reset by the answer in between
}

func TestHelperWithMoreWorkCostsMore(t *testing.T) {
	is := is.New(t)
	var busy, idle Helper
	busy.SetReportedLoad(5)
	is.True(busy.Option(true).Cost > idle.Option(true).Cost)
	idle.Sent()
	idle.Sent()
	is.Equal(idle.Option(true).Cost, 3.0)
}

func TestSilentHelperIsWaitedForAsLongAsUsual(t *testing.T) {
	is := is.New(t)
	helping := NewHelperTimings()
	ackTimeout := func(left time.Duration) time.Duration {
		silent, _ := helping.Timeouts(left)
		return silent
	}
	const left = 140 * time.Millisecond
	is.Equal(ackTimeout(left), 2*initialAckTime)
	for range 500 {
		helping.ObserveAck(time.Millisecond)
	}
	is.Equal(ackTimeout(left), 2*minAckTime)
	for range 200 {
		helping.ObserveAck(100 * time.Millisecond)
	}
	is.Equal(ackTimeout(left), 28*time.Millisecond) // a fifth of what is left
	is.Equal(ackTimeout(-left), time.Duration(0))
}

func TestWayBackFromAHelperIsObserved(t *testing.T) {
	is := is.New(t)
	helping := NewHelperTimings()
	back := func() time.Duration {
		_, back := helping.Timeouts(time.Second)
		return back
	}
	is.Equal(back(), initialReturnLag)
	for range 200 {
		helping.ObserveReturnLag(8 * time.Millisecond)
	}
	is.True(back() > 7*time.Millisecond)
	for range 2000 {
		helping.ObserveReturnLag(0)
	}
	is.Equal(back(), minReturnLag)
}
