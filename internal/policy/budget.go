package policy

import "time"

const (
	// DefaultHedgeBudget is the hedges allowed per first try.
	DefaultHedgeBudget = 0.05
	// DefaultRetryBudget is the retries allowed per first try.
	DefaultRetryBudget = 0.10

	budgetBurst = 5.0 // tokens kept at most
	budgetShare = 0.8 // of the ratio that is earned; the rest is for bursts
	budgetFloor = 0.1 // tokens a second that come at least
	floorPeriod = time.Second
)

// Budget bounds extra attempts to a ratio of the first tries. Over any span
// of time it allows at most 0.8 * ratio * first tries + floor * seconds + burst,
// so that the burst stays within the ratio once a hundred first tries or so
// have been sent. The
// floor comes only where the first tries earn less, so that a service with few
// requests can retry at all; it is too small to matter to a target.
type Budget struct {
	ratio  float64
	tokens float64
	earned float64 // by first tries since the last floor
	last   time.Time
}

// NewBudget returns a budget of ratio extra attempts per first try. A ratio
// of zero or less allows none.
func NewBudget(ratio float64) *Budget { return &Budget{ratio: budgetShare * ratio} }

// First counts a first try, which earns its part of an extra attempt.
func (b *Budget) First(now time.Time) {
	if b.ratio <= 0 {
		return
	}
	b.raise(now)
	b.earned += b.ratio
	b.tokens = min(b.tokens+b.ratio, budgetBurst)
}

// Take spends one extra attempt, and reports false if the budget is used up.
func (b *Budget) Take(now time.Time) bool {
	if b.ratio <= 0 {
		return false
	}
	b.raise(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// raise adds what the floor gives above the first tries, once a period.
func (b *Budget) raise(now time.Time) {
	if b.last.IsZero() {
		b.last = now
	}
	past := now.Sub(b.last)
	if past < floorPeriod {
		return
	}
	missing := max(budgetFloor*past.Seconds()-b.earned, 0)
	b.tokens = min(b.tokens+missing, budgetBurst)
	b.earned, b.last = 0, now
}
