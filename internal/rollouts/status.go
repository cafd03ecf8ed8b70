package rollouts

import (
	"context"
	"errors"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/objstore"
	"rhubarbwood.example/rhubarbwood/internal/rollout"
)

// wantedState returns the state that this host is to write now; StateNone if it has nothing to write.
// A decided final phase is written also if it was decided by another host, or before the store was
// restored from a copy without it.
func (o *order) wantedState() rollout.State {
	if !o.active || o.isSettled() {
		return rollout.StateNone
	}
	if final := finalState(o.phase); final != rollout.StateNone {
		return final
	}
	if o.decision.Write == o.State() {
		return rollout.StateNone
	}
	return o.decision.Write
}

// writeStatus begins to write a status of an order, unless it is StateNone or not due yet. Each attempt
// writes what is wanted at its time, on the condition of the revision that this host knows. So it also
// finds what became of an attempt whose answer was lost: if the status is there, the revision is
// another one, and the store answers with the object. An attempt that takes effect late fails after
// another one. The caller holds the lock.
func (k *Keeper) writeStatus(ctx context.Context, now time.Time, o *order, state rollout.State) {
	if state == rollout.StateNone || !o.status.begin(now) {
		return
	}
	known := o.Order
	k.done.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		stored, err := k.Statuses.WriteRolloutStatus(ctx, known, state)
		k.noteWrite(ctx, known, state, stored, err)
	})
}

// noteWrite takes over the result of a status write.
func (k *Keeper) noteWrite(ctx context.Context, known rollout.Order, state rollout.State, stored rollout.Order, err error) {
	now := k.Clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	o := k.orders[known.Service]
	if o == nil || o.ID != known.ID {
		return // withdrawn or replaced meanwhile
	}
	if isMissing := stored.Service == ""; isMissing && known.State().Final() && errors.As(err, new(*objstore.RecordConflict)) {
		o.verdictEra = o.Written.Era // there is no order that a verdict could be written to
		o.status.end(now, nil)
		return
	}
	isThere := stored.ID == o.ID && stored.State() == state
	if isThere {
		err = nil
	}
	o.status.end(now, err)
	if isThere {
		if state.Final() {
			o.verdictEra = stored.Written.Era
		}
		k.Log.Event(evStatusWritten).Str("service", o.Service).Str("version", o.Version).Str("state", string(state)).
			Str("revision", stored.Written.String()).Str("reason", o.reason).Msg("")
	}
	if stored.ID == o.ID {
		o.update(now, stored)
		k.noteState(o)
	}
	if err != nil && context.Cause(ctx) != context.Canceled {
		k.Log.Event(evStatusNotWritten).Str("service", o.Service).Str("version", o.Version).Str("state", string(state)).Err(err).Msg("")
	}
}
