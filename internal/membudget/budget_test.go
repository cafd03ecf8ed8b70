package membudget

import (
	"errors"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"pgregory.net/rapid"
)

const testMax = 32 << 20

// open returns a message of the size, and whether it was aborted.
func open(b *Budget, size int64) (m *Message, aborted *bool, err error) {
	aborted = new(bool)
	m = b.Open(func() { *aborted = true })
	return m, aborted, m.Grow(size)
}

// Dozens of messages without end must not exceed the budget together, and must not cost a message that ends.
func TestTheLargestEndlessMessageIsGivenUp(t *testing.T) {
	is := is.New(t)
	b := NewBudget("targets", testMax)
	known, knownAborted, err := open(b, 2<<20)
	is.NoErr(err)
	known.HasLength()
	var endless []*Message
	for range 60 {
		m, _, err := open(b, 0)
		is.NoErr(err)
		endless = append(endless, m)
	}
	givenUp := map[*Message]bool{}
	for range 100 {
		for _, m := range endless {
			if err := m.Grow(128 << 10); err != nil {
				givenUp[m] = true
				m.Release()
			}
		}
		is.True(b.held <= testMax-testMax/smallFraction)
	}
	is.Equal(len(givenUp), len(endless)-len(b.receiving)+1) // all but those that had room, and the one with a length
	is.True(!*knownAborted)
	is.NoErr(known.Grow(1 << 20))
	is.NoErr(known.Complete())
}

func TestSmallMessagesHaveRoomBesideLargeOnes(t *testing.T) {
	is := is.New(t)
	b := NewBudget("targets", testMax)
	var complete []*Message
	for {
		m, _, err := open(b, 1<<20)
		if err != nil {
			break
		}
		is.NoErr(m.Complete())
		complete = append(complete, m)
	}
	is.Equal(len(complete), (testMax-testMax/smallFraction)>>20)
	for range testMax / smallFraction / smallMessageBytes {
		_, aborted, err := open(b, smallMessageBytes)
		is.NoErr(err)
		is.True(!*aborted)
	}
	_, _, err := open(b, smallMessageBytes)
	var exceeded *ExceededError
	is.True(errors.As(err, &exceeded))
	is.Equal(*exceeded, ExceededError{Source: "targets", Size: smallMessageBytes, Held: testMax + smallMessageBytes, Max: testMax})
	complete[0].Release()
	complete[0].Release() // no effect
	_, _, err = open(b, smallMessageBytes)
	is.NoErr(err)
}

func TestGivenUpMessageIsNotCompleted(t *testing.T) {
	is := is.New(t)
	b := NewBudget("targets", testMax)
	large, aborted, err := open(b, testMax/2)
	is.NoErr(err)
	_, _, err = open(b, testMax/2)
	is.True(err != nil || *aborted) // one of the two
	is.True((err == nil) == *aborted)
	is.Equal(large.Complete() != nil, *aborted)
}

// Whatever is opened, grown, completed and released in whatever order, the sum stays below the maximum, and nothing
// is left once all is released.
func TestSumStaysBelowTheMaximum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget("targets", testMax)
		var all []*Message
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			if len(all) == 0 || rapid.Bool().Draw(t, "open") {
				all = append(all, b.Open(func() {}))
				continue
			}
			m := rapid.SampledFrom(all).Draw(t, "message")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				m.HasLength()
			case 1:
				if m.Complete() == nil && m.givenUp != nil {
					t.Fatal("completed after it was given up")
				}
			case 2:
				m.Release()
			default:
				_ = m.Grow(rapid.Int64Range(1, 4<<20).Draw(t, "bytes"))
			}
			if b.held > b.max || b.held < 0 {
				t.Fatalf("%d bytes held of %d", b.held, b.max)
			}
		}
		for _, m := range all {
			m.Release()
		}
		if b.held != 0 || len(b.receiving) != 0 {
			t.Fatalf("%d bytes and %d messages left", b.held, len(b.receiving))
		}
	})
}

func TestNilBudgetHasNoLimit(t *testing.T) {
	is := is.New(t)
	var b *Budget
	m, _, err := open(b, 1<<40)
	is.NoErr(err)
	m.HasLength()
	is.NoErr(m.Complete())
	m.Release()
}

func TestConfig(t *testing.T) {
	is := is.New(t)
	is.NoErr(DefaultConfig().Validate())
	is.True(Config{LimitMB: minLimitMB - 1}.Validate() != nil)
	is.NoErr(Config{}.Validate())
	is.Equal(Config{}.Limit(), DefaultConfig().Limit()) // a platform may not know it
	c := Config{LimitMB: 284}
	budgets := New(c, prometheus.NewRegistry())
	sum := budgets.Targets.max + budgets.Callers.max + budgets.Peers.max + budgets.Store.max
	is.True(sum <= c.Limit()/2)
	is.True(c.HeapLimit() < c.Limit())
	is.NoErr(budgets.Targets.Open(nil).Grow(1))
}
