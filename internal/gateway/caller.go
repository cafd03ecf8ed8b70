package gateway

import (
	"context"
	"net/http"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/policy"
)

// CallerConn is the connection that a request came on.
type CallerConn interface {
	// RoundTrip returns the time to the caller and back with its usual
	// variation, 0 if it is not known.
	RoundTrip() time.Duration
	// First reports whether the request that is served is the first one.
	First() bool
}

type callerConnKey struct{}

// WithCallerConn returns a context for the requests of a connection.
func WithCallerConn(ctx context.Context, c CallerConn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

// arrival returns what is seen of a request that was read.
func (g *Gateway) arrival(hr *http.Request, r *request) policy.Arrival {
	if g.cfg.disabled(CallerDistance) {
		return policy.Arrival{At: r.arrived, Waits: r.call.Budget}
	}
	a := policy.Arrival{At: r.arrived, Waits: r.call.Budget, First: true}
	if c, ok := hr.Context().Value(callerConnKey{}).(CallerConn); ok {
		a.RoundTrip, a.First = c.RoundTrip(), c.First()
	}
	return a
}
