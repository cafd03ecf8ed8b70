package gateway

import (
	"context"
	"net/http"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/policy"
)

// CallerConn is the connection on which a request arrived.
type CallerConn interface {
	// RoundTrip returns the round-trip time to the caller plus its usual variation, or 0 if
	// unknown.
	RoundTrip() time.Duration
	// First reports whether the current request is the first one on the connection.
	First() bool
}

type callerConnKey struct{}

// WithCallerConn returns a context that carries the connection to the handlers of its requests.
func WithCallerConn(ctx context.Context, c CallerConn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

// arrival returns the observations about the caller at the time when its request was read.
func (g *Gateway) arrival(hr *http.Request, r *request) policy.Arrival {
	if g.cfg.disabled(CallerDistance) {
		return policy.Arrival{At: r.arrived, RemainingWait: r.call.Budget}
	}
	a := policy.Arrival{At: r.arrived, RemainingWait: r.call.Budget, First: true}
	if c, ok := hr.Context().Value(callerConnKey{}).(CallerConn); ok {
		a.RoundTrip, a.First = c.RoundTrip(), c.First()
	}
	return a
}
