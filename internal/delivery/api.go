// Package delivery records who got what: it sums the answers of a host into
// windows, keeps the windows in the platform, and merges them into reports
// that state their own coverage.
package delivery

import (
	"time"

	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

// Delivery is what one caller got for one request.
type Delivery struct {
	RequestID     string
	ReservationID string // reservations only
	Caller        string
	Service       string // or the workload, if a whole one was asked, or the route of a forwarded request
	Outcome       outcome.Outcome
	Reason        query.Reason // empty for an answer
	Coverage      float64      // 0..1; searches and forwarded requests
	Snapshot      uint64       // searches; of a forwarded request the version of the configuration
	Latency       time.Duration
	Attempts      int
	Needed        int
}

// Recorder takes deliveries. Record never blocks on the platform.
type Recorder interface {
	Record(d Delivery)
}
