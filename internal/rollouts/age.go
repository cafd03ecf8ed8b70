package rollouts

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/objstore"
	"rhubarbwood.example/rhubarbwood/internal/revision"
	"rhubarbwood.example/rhubarbwood/internal/rollout"
)

// sweepKey identifies the removal of ages in Turns.TurnFor.
const sweepKey = "sweep of rollout ages"

// storedAge is the encoding of the time at which an order was first seen. The object has the name of
// the service.
type storedAge struct {
	Service       string    `json:"service"`
	Version       string    `json:"version"`
	CreatedEra    uint64    `json:"created_era"`
	CreatedNumber uint64    `json:"created_revision"`
	FirstSeen     time.Time `json:"first_seen"` // by the store's clock
}

func (s storedAge) id() rollout.ID {
	return rollout.ID{Service: s.Service, Version: s.Version, Created: revision.Revision{Era: s.CreatedEra, Number: s.CreatedNumber}}
}

// syncAge reads or writes the stored age of an order if that is due. A host that does not know the age
// reads it after the time in which a peer would have sent it; the one that decides writes it. The
// caller holds the lock.
func (k *Keeper) syncAge(ctx context.Context, now time.Time, o *order) {
	age := o.ageAt(now)
	isUnknown := age < 0 && now.Sub(o.knownSince) >= ageReadDelay
	isUnwritten := age >= 0 && o.active && (!o.ageStored || o.ageStoreEra != k.Store.Era())
	if !isUnknown && !isUnwritten || !o.age.begin(now) {
		return
	}
	id := o.ID
	k.done.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, 2*storeTimeout) // a read and a write
		defer cancel()
		stored, err := readOrWriteAge(ctx, k.Store, id, age)
		k.noteAge(ctx, id, stored, err)
	})
}

// noteAge takes over the stored age of an order.
func (k *Keeper) noteAge(ctx context.Context, id rollout.ID, age time.Duration, err error) {
	now := k.Clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	o := k.orders[id.Service]
	if o == nil || o.ID != id {
		return
	}
	o.age.end(now, err)
	if err != nil {
		if context.Cause(ctx) != context.Canceled {
			k.Log.Event(evAgeNotStored).Str("service", id.Service).Str("version", id.Version).Err(err).Msg("")
		}
		return
	}
	o.ageStored, o.ageStoreEra = true, k.Store.Era()
	if o.FirstSeen.IsZero() {
		k.learnAge(now, o, age)
	}
}

// readOrWriteAge returns the stored age of an order. If none is stored it stores the given one; a
// negative age counts as 0, as no host has seen the order before.
func readOrWriteAge(ctx context.Context, store objstore.Store, id rollout.ID, age time.Duration) (time.Duration, error) {
	version := uint64(0)
	found, err := store.Get(ctx, objstore.KindRollout, id.Service)
	switch {
	case errors.Is(err, objstore.ErrNotFound):
	case err != nil:
		return 0, Error.New("read the age of rollout %s: %w", id.Service, err)
	default:
		version = found.Version
		var stored storedAge
		// An object that can't be read is replaced, as is that of an earlier order.
		if json.Unmarshal(found.Value, &stored) == nil && stored.id() == id && !stored.FirstSeen.IsZero() {
			return max(storeNow(store).Sub(stored.FirstSeen), 0) + ageMargin, nil
		}
	}
	age = max(age, 0)
	text, err := json.Marshal(storedAge{
		Service: id.Service, Version: id.Version, CreatedEra: id.Created.Era, CreatedNumber: id.Created.Number,
		FirstSeen: storeNow(store).Add(-age),
	})
	if err != nil {
		return 0, Error.Wrap(err)
	}
	if _, err := store.Put(ctx, objstore.KindRollout, id.Service, version, text); err != nil {
		return 0, Error.New("write the age of rollout %s: %w", id.Service, err) // after a conflict the next attempt reads it
	}
	return age, nil
}

// storeNow returns the store's time, or this host's if the store has reported none.
func storeNow(store objstore.Store) time.Time {
	if now, ok := store.Now(); ok {
		return now
	}
	return time.Now()
}

// sweepIfDue begins to remove the ages of withdrawn orders if that is due and this host's turn. The
// caller holds the lock.
func (k *Keeper) sweepIfDue(ctx context.Context, now time.Time, current bool) {
	if k.sweepAt.IsZero() || now.Before(k.sweepAt) || !current {
		return
	}
	k.sweepAt = time.Time{}
	if rank, watches := k.Turns.TurnFor(sweepKey); !watches || rank > 0 {
		return
	}
	k.done.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		if err := k.sweep(ctx); err != nil && context.Cause(ctx) != context.Canceled {
			k.Log.Event(evAgesNotSwept).Err(err).Msg("")
			k.mu.Lock()
			defer k.mu.Unlock()
			k.sweepAt = k.Clock.Now().Add(sweepDelay)
		}
	})
}

// sweep removes the ages of services without an order.
func (k *Keeper) sweep(ctx context.Context) error {
	listing, err := k.Store.List(ctx, objstore.KindRollout)
	if err != nil {
		return Error.New("list the ages of rollouts: %w", err)
	}
	orders, _ := k.Orders.Orders()
	for _, o := range listing.Objects {
		if _, exists := orders[o.Name]; exists {
			continue
		}
		err := k.Store.Delete(ctx, objstore.KindRollout, o.Name, o.Version)
		var conflict *objstore.Conflict
		if err != nil && !errors.Is(err, objstore.ErrNotFound) && !errors.As(err, &conflict) {
			return Error.New("remove the age of rollout %s: %w", o.Name, err)
		}
	}
	return nil
}
