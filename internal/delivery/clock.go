package delivery

import (
	"time"

	"rhubarbwood.example/rhubarbwood/internal/objstore"
)

// platformClock estimates the platform's clock between the platform's responses
// from this process's monotonic clock. The estimate never goes backwards and is
// never ahead of the platform's clock.
type platformClock struct {
	store          objstore.Store
	anchorLocal    time.Time // monotonic reading at the anchor
	anchorPlatform time.Time // the platform's clock at the anchor; zero: unknown
}

// at returns the platform's clock at a local time. It returns false before the
// platform's first response.
func (c *platformClock) at(local time.Time) (time.Time, bool) {
	c.observe(time.Now())
	if c.anchorPlatform.IsZero() {
		return time.Time{}, false
	}
	return c.estimate(local), true
}

func (c *platformClock) now() (time.Time, bool) { return c.at(time.Now()) }

// observe moves the anchor if the time of the platform's newest response is
// ahead of the estimate. That time is always older than the moment at which it
// is read, so the greatest estimate is the most accurate.
func (c *platformClock) observe(local time.Time) {
	newest, ok := c.store.Now()
	if !ok {
		return
	}
	if c.anchorPlatform.IsZero() || newest.After(c.estimate(local)) {
		c.anchorLocal, c.anchorPlatform = local, newest
	}
}

// estimate extrapolates the platform's clock from the anchor to a local time.
func (c *platformClock) estimate(local time.Time) time.Time {
	return c.anchorPlatform.Add(local.Sub(c.anchorLocal))
}
