package gateway

import (
	"net"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/delivery"
	"rhubarbwood.example/rhubarbwood/internal/outcome"
)

// noRouteService is the service in the delivery records of requests without a route: one entry for
// all paths that callers may send.
const noRouteService = "(no route)"

// delivery returns the delivery record of the answer. Callers are identified by their IP address.
func (w *reply) delivery(took time.Duration) delivery.Delivery {
	r := w.request
	d := delivery.Delivery{
		RequestID: r.call.RequestID, Caller: addressOf(r.caller), Service: w.route,
		Outcome: w.outcome, Reason: w.reasonCode, Snapshot: w.configVersion, Latency: took,
		Attempts: int(r.attempts.Load()), Needed: w.totalParts,
	}
	if d.Service == "" {
		d.Service = noRouteService
	}
	if w.outcome == outcome.Done && w.totalParts > 0 {
		d.Coverage = float64(w.totalParts-w.missingParts) / float64(w.totalParts)
	}
	return d
}

// addressOf returns an address without its port.
func addressOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address // in-memory connections have no port
	}
	return host
}
