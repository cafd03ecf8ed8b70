package delivery

import (
	"time"

	"rhubarbwood.example/rhubarbwood/internal/objstore"
)

// platformClock estimates the platform's clock between its answers by this
// process's monotonic clock. It never goes back and is never ahead.
type platformClock struct {
	store          objstore.Store
	anchorLocal    time.Time // monotonic reading at the anchor
	anchorPlatform time.Time // the platform's clock at the anchor; zero: not known yet
}

// at returns the platform's clock at a local moment; false before the
// platform's first answer.
func (c *platformClock) at(local time.Time) (time.Time, bool) {
	c.observe(time.Now())
	if c.anchorPlatform.IsZero() {
		return time.Time{}, false
	}
	return c.estimate(local), true
}

func (c *platformClock) now() (time.Time, bool) { return c.at(time.Now()) }

// observe moves the anchor when the platform's newest answer is ahead of the
// estimate: that answer is older than the moment at which it is looked at, so
// the greatest estimate is the best.
func (c *platformClock) observe(local time.Time) {
	newest, ok := c.store.Now()
	if !ok {
		return
	}
	if c.anchorPlatform.IsZero() || newest.After(c.estimate(local)) {
		c.anchorLocal, c.anchorPlatform = local, newest
	}
}

// estimate carries the anchor on to a local moment.
func (c *platformClock) estimate(local time.Time) time.Time {
	return c.anchorPlatform.Add(local.Sub(c.anchorLocal))
}
