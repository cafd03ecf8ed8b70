package policy

import "time"

const (
	// DefaultHedgeBudget is the hedges allowed per first try.
	DefaultHedgeBudget = 0.05
	// DefaultRetryBudget is the retries allowed per first try.
	DefaultRetryBudget = 0.10

	budgetBurst = 10.0 // tokens kept at most
	budgetFloor = 0.1  // tokens a second that come whatever the rate of first tries
)

// Budget bounds extra attempts to a ratio of the first tries. Over any span
// of time it allows at most ratio * first tries + floor * seconds + burst.
// The floor lets a service with few requests retry at all; it is too small to
// matter to a target.
type Budget struct {
	ratio  float64
	tokens float64
	last   time.Time
}

// NewBudget returns a budget of ratio extra attempts per first try. A ratio
// of zero or less allows none.
func NewBudget(ratio float64) *Budget {
	b := &Budget{ratio: ratio}
	if ratio > 0 {
		b.tokens = 1
	}
	return b
}

// First counts a first try, which earns its part of an extra attempt.
func (b *Budget) First(now time.Time) { b.add(now, b.ratio) }

// Take spends one extra attempt, and reports false if the budget is used up.
func (b *Budget) Take(now time.Time) bool {
	b.add(now, 0)
	if b.ratio <= 0 || b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Budget) add(now time.Time, earned float64) {
	if b.ratio <= 0 {
		return
	}
	if !b.last.IsZero() && now.After(b.last) {
		earned += budgetFloor * now.Sub(b.last).Seconds()
	}
	if b.last.IsZero() || now.After(b.last) {
		b.last = now
	}
	b.tokens = min(b.tokens+earned, budgetBurst)
}
