package discovery

import (
	"context"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
	"rhubarbwood.example/rhubarbwood/internal/revision"
	"rhubarbwood.example/rhubarbwood/internal/rollout"
)

// followOrders reads or watches the rollout orders with one store call.
func (f *Follower) followOrders(ctx context.Context, feed *feed) error {
	cachedRevision := f.state.Cursor().RolloutRevision
	if feed.mustList(cachedRevision) {
		requestedAt := f.state.clock.Now()
		read, err := f.source.Rollouts(ctx)
		if err != nil {
			return err
		}
		feed.noteAnswer()
		feed.noteListed()
		for _, u := range read.Unreadable {
			f.logUnreadableOrder(u, read.Revision)
		}
		f.logOrders(f.state.ApplyOrders(read, requestedAt), "store")
		return nil
	}
	_, asOf := f.state.Orders()
	w := f.newWatch(asOf)
	changes, err := f.source.WatchRollouts(ctx, cachedRevision, w.wait)
	if err != nil {
		return err
	}
	feed.noteWatched()
	for _, c := range changes.Changes {
		if c.Problem != "" {
			f.logUnreadableOrder(UnreadableOrder{Service: c.Service, Problem: c.Problem}, changes.Revision)
		}
	}
	f.logOrders(f.state.ApplyOrderChanges(changes, w.currentAsOf(len(changes.Changes) > 0)), "store")
	return nil
}

func (f *Follower) logUnreadableOrder(u UnreadableOrder, at revision.Revision) {
	if f.unusableLogs.Allow() {
		f.log.Event(evOrderUnreadable).Str("service", u.Service).Str("problem", u.Problem).
			Uint64("era", at.Era).Uint64("revision", at.Number).Msg("")
	}
}

func (f *Follower) logOrders(changes []OrderChange, from string) {
	for _, c := range changes {
		f.log.Event(evOrder).Str("service", c.Service).Str("version", c.Order.Version).Dur("duration", c.Order.Duration).
			Str("state", string(c.Order.State())).Bool("withdrawn", c.Withdrawn).
			Uint64("era", c.Order.Written.Era).Uint64("revision", c.Order.Written.Number).Str("from", from).Msg("")
	}
}

// encodeOrders encodes the orders of an update that is sent now, nil if it has none.
func encodeOrders(u Update, now time.Time) *peerpb.RolloutOrders {
	if u.Orders == nil {
		return nil
	}
	out := &peerpb.RolloutOrders{}
	for _, all := range [][]rollout.Order{u.Orders, u.Kept.Orders} {
		for _, o := range all {
			out.Orders = append(out.Orders, &peerpb.RolloutOrder{
				Id: &peerpb.RolloutOrderID{
					Service: o.Service, Version: o.Version, CreatedEra: o.Created.Era, CreatedRevision: o.Created.Number,
				},
				DurationUs: o.Duration.Microseconds(), Era: o.Written.Era, Revision: o.Written.Number,
				State: string(o.Status.State), StatusVersion: o.Status.Version, AgeUs: ageMicros(now, o.FirstSeen),
			})
		}
	}
	return out
}

// decodeOrders decodes the orders of an update with the given revision. The age of an order is taken as the least
// possible, that is as of the arrival of the reply: if each host took it as greater by the time of transit, the time at
// which the order was first seen would go ever further back as hosts tell each other.
func decodeOrders(in *peerpb.RolloutOrders, at revision.Revision, receivedAt time.Time) (stored, kept []rollout.Order) {
	if in == nil {
		return nil, nil
	}
	stored = []rollout.Order{}
	for _, o := range in.Orders {
		order := rollout.Order{
			ID: rollout.ID{
				Service: o.GetId().GetService(), Version: o.GetId().GetVersion(),
				Created: revision.Revision{Era: o.GetId().GetCreatedEra(), Number: o.GetId().GetCreatedRevision()},
			},
			Duration: time.Duration(o.DurationUs) * time.Microsecond,
			Written:  revision.Revision{Era: o.Era, Number: o.Revision},
			Status:   rollout.Status{State: rollout.State(o.State), Version: o.StatusVersion}, FirstSeen: timeOfAge(receivedAt, o.AgeUs),
		}
		if order.Written.Era < at.Era {
			kept = append(kept, order)
			continue
		}
		stored = append(stored, order)
	}
	return stored, kept
}
