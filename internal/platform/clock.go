package platform

import (
	"net/http"
	"sync"
	"time"
)

// clock keeps the newest time that the platform has told.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

// read takes the time from the header of an answer. Answers may overtake each
// other, so an older time is ignored.
func (c *clock) read(h http.Header) {
	t, err := time.Parse(time.RFC3339Nano, h.Get(HeaderTime))
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.After(c.now) {
		c.now = t
	}
}

// get returns the newest time, and false before the first answer.
func (c *clock) get() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now, !c.now.IsZero()
}
