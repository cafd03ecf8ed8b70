package delivery

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"rhubarbwood.example/rhubarbwood/internal/catalog"
	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/platform"
)

// Compactor sums windows up: those of five minutes into one sum, and those
// of an hour into a coarser one; and it removes what is past retention. Each
// round is one host's, chosen by hashing the time. Two hosts that both think
// it theirs write the same, so nothing needs to be agreed.
type Compactor struct {
	cfg   Config
	store platform.Store
	view  member.View
	log   *event.Log
	clock platformClock
	pace  *rate.Limiter // of removals
	burn  *burnGauge
	last  time.Time // slot of the last round that ended well

	cancel context.CancelFunc
	done   sync.WaitGroup
}

// checkInterval is how often a host looks whether a round is its own.
const checkInterval = 30 * time.Second

// NewCompactor returns a compactor. Every host has one. After a round it sets
// the gauges of burn, for the objectives of the services that are given.
func NewCompactor(cfg Config, store platform.Store, view member.View, services func() []catalog.Service,
	log *event.Log, reg prometheus.Registerer) *Compactor {
	return &Compactor{
		cfg: cfg, store: store, view: view, log: log, clock: platformClock{store: store},
		pace: rate.NewLimiter(rate.Limit(cfg.WritesPerSecond), 1),
		burn: newBurnGauge(NewReporter(cfg, store, view, log), services, reg),
	}
}

// Start begins the rounds.
func (c *Compactor) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.done.Go(func() { c.run(ctx) })
	return nil
}

// Stop ends the rounds. Another host goes on with one that was cut short.
func (c *Compactor) Stop(context.Context) error {
	if c.cancel != nil {
		c.cancel()
		c.done.Wait()
	}
	return nil
}

func (c *Compactor) run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		c.check(ctx)
	}
}

// check does a round if the newest slot that is due is this host's and not
// done yet.
func (c *Compactor) check(ctx context.Context) {
	now, ok := c.clock.now()
	if !ok {
		return
	}
	slot := fine.slotOf(now.Add(-settle)).Add(-fine.slot)
	if owner(slot, c.view.Hosts()) != c.view.Self().ID {
		c.burn.clear()
		return
	}
	if slot.Equal(c.last) {
		return
	}
	err := c.round(ctx, now)
	if err == nil {
		err = c.burn.set(ctx)
	}
	if err != nil {
		c.log.Event(evCompactFailed).Err(err).Msg("")
		return
	}
	c.last = slot
}

// owner returns the host with the highest hash together with the slot.
func owner(slot time.Time, hosts []member.Host) string {
	var best uint64
	var id string
	for _, h := range hosts {
		if !h.Usable() {
			continue
		}
		hash := xxhash.Sum64String(fine.name(slot, 0) + "/" + h.ID)
		if id == "" || hash > best {
			best, id = hash, h.ID
		}
	}
	return id
}

// round sums up everything that is due, also what earlier rounds left.
func (c *Compactor) round(ctx context.Context, now time.Time) error {
	listing, err := c.store.List(ctx, platform.KindWindow, kindIndex)
	if err != nil {
		return Error.New("list windows: %w", err)
	}
	indexes, windows := readIndexes(listing.Objects, c.unreadable)
	summed := coveredBy(allSpans(indexes))
	due := map[time.Time][]platform.Object{}
	for _, o := range windows {
		if slot := fine.slotOf(o.Created); !now.Before(slot.Add(fine.slot + settle)) {
			due[slot] = append(due[slot], o)
		}
	}
	for _, slot := range sortedSlots(due) {
		if err := c.sumWindows(ctx, newSum(fine, slot, indexes), due[slot], summed); err != nil {
			return err
		}
	}
	if err := c.sumHours(ctx, now, indexes); err != nil {
		return err
	}
	return c.retain(ctx, now, indexes)
}

func sortedSlots(m map[time.Time][]platform.Object) []time.Time {
	var slots []time.Time
	for t := range m {
		slots = append(slots, t)
	}
	slices.SortFunc(slots, time.Time.Compare)
	return slots
}

// sumWindows sums the windows of a slot and removes them. Windows that a sum
// holds already, left by a round that was cut short or written a second time
// by a delayed write, are only removed.
func (c *Compactor) sumWindows(ctx context.Context, s *sum, objects []platform.Object, summed covered) error {
	var removable []platform.Object
	for _, o := range objects {
		w, err := decodeWindow(o.Value)
		if err != nil {
			c.unreadable(o, err) // stays, so that reports go on naming it
			continue
		}
		removable = append(removable, o)
		if !summed.holds(w.Incarnation, w.Number) {
			s.addWindow(w, endOf(w, o))
		}
	}
	if s.index.Windows > 0 {
		if err := c.write(ctx, s); err != nil {
			return err
		}
	}
	for _, o := range removable {
		if err := c.remove(ctx, o.Kind, o.Name, o.Version); err != nil {
			return err
		}
	}
	c.log.Event(evCompacted).Time("slot", s.index.Slot).Uint64("windows", s.index.Windows).Int("objects", len(objects)).Msg("")
	return nil
}

// sumHours sums the fine sums of each hour whose time is over, and removes them.
func (c *Compactor) sumHours(ctx context.Context, now time.Time, indexes []*index) error {
	over := superseded(indexes)
	hours := map[time.Time][]*index{}
	var removable []*index
	for _, x := range indexes {
		hour := coarse.slotOf(x.Slot)
		if x.Kind != fine.kind || now.Before(hour.Add(coarse.slot+fine.keep)) {
			continue
		}
		removable = append(removable, x)
		if !over[x] {
			hours[hour] = append(hours[hour], x)
		}
	}
	for hour, parts := range hours {
		if err := c.sumHour(ctx, newSum(coarse, hour, indexes), parts); err != nil {
			return err
		}
	}
	for _, x := range removable {
		if err := c.removeSum(ctx, x, false); err != nil {
			return err
		}
	}
	return nil
}

func (c *Compactor) sumHour(ctx context.Context, s *sum, parts []*index) error {
	reader, err := newPartReader(ctx, c.store, nil)
	if err != nil {
		return err
	}
	slices.SortFunc(parts, func(a, b *index) int { return a.Slot.Compare(b.Slot) })
	for _, x := range parts {
		s.addIndex(x)
		if err := reader.rows(ctx, x, func(p piece) { s.addRows(p.end, p.rows) }); err != nil {
			return err
		}
	}
	return c.write(ctx, s)
}

// retain removes sums that are past retention.
func (c *Compactor) retain(ctx context.Context, now time.Time, indexes []*index) error {
	for _, x := range indexes {
		if now.Before(x.end().Add(c.cfg.Retention.Std())) {
			continue
		}
		if err := c.removeSum(ctx, x, true); err != nil {
			return err
		}
	}
	return nil
}
