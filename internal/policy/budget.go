package policy

import "time"

const (
	// DefaultHedgeBudget is the number of hedges allowed per first attempt.
	DefaultHedgeBudget = 0.05
	// DefaultRetryBudget is the number of retries allowed per first attempt.
	DefaultRetryBudget = 0.10

	budgetBurstTokens  = 5.0 // burst of a budget that is not shared
	earnedFraction     = 0.8 // fraction of the ratio that first attempts earn; the rest covers bursts
	minTokensPerSecond = 0.1 // minimum refill rate of a budget that is not shared
	refillPeriod       = time.Second
)

// Budget is a token bucket that bounds extra attempts (hedges, retries) to a
// ratio of the first attempts. Over any span of time it allows at most 0.8 *
// ratio * first attempts + minimum rate * seconds + burst, so that the burst
// stays within the ratio after about a hundred first attempts. The minimum rate
// applies only where first attempts earn less, so that a service with few
// requests can retry at all; it is too low to load a target.
type Budget struct {
	ratio            float64 // ratio of extra attempts that first attempts earn
	burst            float64 // maximum number of tokens, unless earnings raise it; see maxTokens
	minRate          float64 // minimum refill rate, tokens per second
	tokens           float64
	earnedThisPeriod float64   // tokens earned by first attempts since periodStart
	earnedLastPeriod float64   // tokens earned in the previous period, per refillPeriod
	shared           bool      // share of an Allowance: earnings of the previous period raise the maximum
	periodStart      time.Time // start of the current refill period
}

// NewBudget returns a budget of ratio extra attempts per first attempt. A ratio
// of zero or less allows none.
func NewBudget(ratio float64) *Budget {
	return &Budget{ratio: earnedFraction * ratio, burst: budgetBurstTokens, minRate: minTokensPerSecond}
}

// Allowance bounds the extra attempts of all hosts together: Ratio extra
// attempts per first attempt, plus Slack in any span of Window.
type Allowance struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Fractions of a host's share of the slack. With earnedFraction they leave a
// fifth of the slack unused, for hosts that undercount the others or restart.
const (
	burstSlackFraction  = 0.5 // available at once
	refillSlackFraction = 0.3 // refilled in the course of one window
)

// burstEarningPeriods is the number of periods whose earnings a shared budget
// can hold, at the least. A host that gathers for many others has their
// earnings but only its own share of the slack, and a pause of one target calls
// for several extra attempts at once. 0.7 periods are less than a tenth of what
// the ratio allows over ten periods, and a fifth of that is never earned.
const burstEarningPeriods = 0.7

// slackBonus is the part of its earnings that a share may refill from the slack beside them. With
// earnedFraction it stays below Ratio, so that the slack covers the bursts alone, also if every host restarts
// and has its burst again.
const slackBonus = 0.2

// NewShare returns one host's share of an allowance; see SetShare. The burst is
// available from the start: otherwise a host whose share is less than one
// attempt per window could not hedge at all.
func NewShare(a Allowance, weight, draw float64) *Budget {
	b := &Budget{ratio: earnedFraction * a.Ratio, shared: true}
	b.SetShare(a, weight, draw)
	b.tokens = b.burst
	return b
}

// SetShare sets the weight of this host among those that share the allowance, 0
// to 1; the weights of all hosts sum to at most 1. Where the burst of a share
// is less than one attempt, draw, from 0 to 1 and different on each host,
// selects the hosts that get a burst of one; one for every host would exceed
// the slack many times in a large fleet. Tokens are kept up to the new maximum.
func (b *Budget) SetShare(a Allowance, weight, draw float64) {
	share := a.Slack * weight
	b.burst, b.minRate = burstSlackFraction*share, refillSlackFraction*share/a.Window.Seconds()
	if b.burst < 1 {
		if draw < b.burst {
			b.minRate /= b.burst
			b.burst = 1
		} else {
			b.burst, b.minRate = 0, 0
		}
	}
	b.tokens = min(b.tokens, b.maxTokens())
}

// First records a first attempt, which earns a fraction of a token.
func (b *Budget) First(now time.Time) {
	if b.ratio <= 0 {
		return
	}
	b.refill(now)
	b.earnedThisPeriod += b.ratio
	b.tokens = min(b.tokens+b.ratio, b.maxTokens())
}

// Take spends one token, and returns false if there is none.
func (b *Budget) Take(now time.Time) bool {
	if b.ratio <= 0 {
		return false
	}
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Return returns the token of an attempt that was not made.
func (b *Budget) Return() { b.tokens = min(b.tokens+1, b.maxTokens()) }

// Left returns the part of the budget that is left, 0 to 1; 1 for a budget that allows no extra attempts.
func (b *Budget) Left(now time.Time) float64 {
	if b.ratio <= 0 {
		return 1
	}
	b.refill(now)
	return b.tokens / b.maxTokens()
}

// maxTokens returns the capacity of the bucket.
func (b *Budget) maxTokens() float64 {
	if !b.shared {
		return b.burst
	}
	return max(b.burst, burstEarningPeriods*b.earnedLastPeriod, 1)
}

// refill adds, once per period, what the minimum rate gives above the earnings
// of that period. A share of an allowance gets a bonus beside its earnings, as the
// slack of an allowance comes on top of the ratio.
func (b *Budget) refill(now time.Time) {
	if b.periodStart.IsZero() {
		b.periodStart = now
	}
	elapsed := now.Sub(b.periodStart)
	if elapsed < refillPeriod {
		return
	}
	minimum := b.minRate * elapsed.Seconds()
	added := max(minimum-b.earnedThisPeriod, 0)
	if b.shared {
		added = max(added, min(minimum, slackBonus*b.earnedThisPeriod))
	}
	b.earnedLastPeriod = b.earnedThisPeriod * refillPeriod.Seconds() / elapsed.Seconds()
	b.tokens = min(b.tokens+added, b.maxTokens())
	b.earnedThisPeriod, b.periodStart = 0, now
}
