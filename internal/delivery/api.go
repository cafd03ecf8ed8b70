package delivery

import (
	"time"

	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

// Delivery is the result that one caller received for one request.
type Delivery struct {
	RequestID     string
	ReservationID string // only for reservations
	Caller        string
	Service       string // or the workload if a whole workload was queried, or the route of a forwarded request
	Outcome       outcome.Outcome
	Reason        query.Reason // empty if the request was answered
	Coverage      float64      // 0..1; only for searches and forwarded requests
	Snapshot      uint64       // only for searches and forwarded requests; for the latter the version of the configuration
	Latency       time.Duration
	Attempts      int // attempts made, including repeated ones
	Needed        int // attempts that the request needs if none is repeated
}

// Recorder records deliveries. Record never blocks on the platform.
type Recorder interface {
	Record(d Delivery)
}
