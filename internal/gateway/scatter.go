package gateway

import (
	"context"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/quarantine"
	"rhubarbwood.example/rhubarbwood/internal/routing"
)

// scatter sends a query to the shards of its route and answers with the merged parts.
func (g *Gateway) scatter(ctx context.Context, w *reply, r *request, route *routing.Route) {
	got := g.gather(ctx, r, route)
	r.stats.observeBytes(got.PartBytes, len(got.Signatures))
	r.attempts.Add(int32(got.Attempts))
	w.triedTargets, w.helper = got.MissingShards, got.Helper
	stance, left := g.quarantineMode(r)
	switch {
	case r.ctx.Err() != nil:
		w.gone()
	case got.Outcome == outcome.Done:
		w.merged(route, got)
		if got.Cut {
			r.stats.observeWriteLag(time.Since(r.answerBy))
		}
	case got.Outcome == outcome.NotSent && got.Reason == errNoTarget.Error():
		w.refuse(refusalNoTarget)
	case got.Outcome.NotRun() && stance == quarantine.Quarantined:
		w.quarantined(left)
	case got.Outcome.NotRun() && r.stopped.Load():
		w.refuse(refusalStopping)
	case got.Outcome.NotRun():
		w.refuse(refusalBusy)
	case r.stopped.Load():
		w.stopped()
	case r.overdue():
		w.timeout()
	default:
		w.unknown(Error.New("%s", got.Reason))
	}
}
