package warmup

import (
	"context"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/discovery"
	"rhubarbwood.example/rhubarbwood/internal/objstore"
)

const (
	// sweepInterval is the time between two sweeps of the permits in the store.
	sweepInterval = 10 * time.Minute
	// unregisteredRetention is how long the store keeps the permit of an unregistered target: longer than any
	// host does, so that a target that registers again never gets a second permit.
	unregisteredRetention = 2 * discovery.PermitRetention
	// sweepKey identifies the sweep in Peers.TurnFor.
	sweepKey = "sweep of permits"
)

// sweep removes the permits of targets that were unregistered long ago, on one of the hosts that write them.
func (k *Keeper) sweep(ctx context.Context) {
	if turn, writes := k.peers.TurnFor(sweepKey); !writes || turn > 0 {
		clear(k.unregisteredSince) // another host sweeps
		return
	}
	ctx, cancel := context.WithTimeout(ctx, sweepInterval/2)
	defer cancel()
	listing, err := k.store.List(ctx, objstore.KindPermit)
	if err != nil {
		k.log.Event(evNotListed).Err(err).Msg("")
		return
	}
	registered := map[string]bool{}
	for _, t := range k.state.View().Targets {
		registered[t.ID] = true
	}
	now := k.state.Clock().Now()
	missing := map[string]time.Time{}
	for _, o := range listing.Objects {
		if registered[o.Name] {
			continue
		}
		since, known := k.unregisteredSince[o.Name]
		if !known {
			since = now
		}
		missing[o.Name] = since
		if now.Sub(since) < unregisteredRetention {
			continue
		}
		if err := k.store.Delete(ctx, objstore.KindPermit, o.Name, o.Version); err != nil {
			k.log.Event(evNotRemoved).Str("target", o.Name).Err(err).Msg("")
		}
	}
	k.unregisteredSince = missing
}
