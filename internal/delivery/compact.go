package delivery

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/objstore"
)

// Compactor sums windows up, level by level, and removes what is past
// retention. Each round is one host's, chosen by hashing shard and time. Two
// hosts that both think it theirs write the same, so nothing needs to be agreed.
type Compactor struct {
	cfg      Config
	store    objstore.Store
	view     member.View
	log      *event.Log
	clock    platformClock
	pace     *rate.Limiter        // of removals
	last     [MaxShards]time.Time // slots of the last rounds that ended well
	indexes  [MaxShards]map[string]*index
	era      uint64 // of the platform, in which the indexes and what the round goes by were read
	burn     *burnGauge
	burnSlot time.Time // of the newest burn

	cancel context.CancelFunc
	done   sync.WaitGroup
}

const (
	// checkInterval is how often a host looks whether a round is its own.
	checkInterval = 15 * time.Second
	// burnInterval is how often the gauges of burn are set.
	burnInterval = 5 * time.Minute
	// paceShare is the part of the platform's writes for windows that one host
	// takes for its removals; hosts may work on several shards at once.
	paceShare = 0.25
)

// NewCompactor returns a compactor. Every host has one. One host at a time
// also sets the gauges of burn, for the objectives given.
func NewCompactor(cfg Config, store objstore.Store, view member.View, objectives func() []Objective,
	log *event.Log, reg prometheus.Registerer) *Compactor {
	return &Compactor{
		cfg: cfg, store: store, view: view, log: log, clock: platformClock{store: store},
		pace: rate.NewLimiter(rate.Limit(cfg.WritesPerSecond*paceShare), 1),
		burn: newBurnGauge(NewReporter(cfg, store, view, log), objectives, reg),
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
		now, ok := c.clock.now()
		if !ok {
			continue
		}
		for shard := range MaxShards {
			c.check(ctx, now, shard)
		}
		c.updateBurn(ctx, now)
	}
}

// check does a round in the shard if the newest slot that is due is this
// host's and not done yet.
func (c *Compactor) check(ctx context.Context, now time.Time, shard int) {
	period := c.period(shard)
	slot := now.UTC().Add(-slotGrace).Truncate(period).Add(-period)
	if c.last[shard].IsZero() && shard >= c.cfg.Shards {
		c.last[shard] = slot // what was due before this host started is another's
	}
	if slot.Equal(c.last[shard]) || !c.owns(slot, shard) {
		return
	}
	if err := c.round(ctx, now, shard); err != nil {
		c.log.Event(evCompactFailed).Err(err).Msg("")
		return
	}
	c.last[shard] = slot
}

// idlePeriod is the time between the rounds of a shard that no host writes to:
// all there may be is left from a time with more shards. A round in each minute
// for all 16 shards was 32 calls a minute, of which 30 found nothing.
const idlePeriod = time.Hour

// period returns the time between the rounds of a shard.
func (c *Compactor) period(shard int) time.Duration {
	if shard < c.cfg.Shards {
		return levels[0].slot
	}
	return idlePeriod
}

// noShard is hashed in place of a shard to choose the host that exports the burn.
const noShard = -1

// updateBurn sets the gauges of burn if the interval is this host's and not done
// yet, and clears them if it is another's.
func (c *Compactor) updateBurn(ctx context.Context, now time.Time) {
	slot := now.UTC().Truncate(burnInterval)
	if c.burnSlot.IsZero() {
		c.burnSlot = slot // another host's, or too short to tell anything
	}
	if !c.owns(slot, noShard) {
		c.burn.clear()
		return
	}
	if slot.Equal(c.burnSlot) {
		return
	}
	if err := c.burn.update(ctx); err != nil {
		c.log.Event(evBurnFailed).Err(err).Msg("")
		return
	}
	c.burnSlot = slot
}

// owns reports whether this host has the highest hash together with the slot
// and the shard.
func (c *Compactor) owns(slot time.Time, shard int) bool {
	var best uint64
	var id string
	for _, h := range c.view.Hosts() {
		if !h.Usable() {
			continue
		}
		hash := xxhash.Sum64String(fmt.Sprintf("%d.%d.%s", slot.Unix(), shard, h.ID))
		if id == "" || hash > best {
			best, id = hash, h.ID
		}
	}
	return id == c.view.Self().ID
}

// round sums up everything in the shard that is due, also what earlier rounds
// left.
func (c *Compactor) round(ctx context.Context, now time.Time, shard int) error {
	listing, err := c.store.List(ctx, inShard(objstore.KindWindow, shard), inShard(kindIndex, shard))
	if err != nil {
		return Error.New("list windows of shard %d: %w", shard, err)
	}
	if listing.Era != c.era { // what is remembered by its version may have been lost and written anew
		c.era, c.indexes = listing.Era, [MaxShards]map[string]*index{}
	}
	indexes, windows := readIndexes(listing.Objects, c.indexes[shard], c.unreadable)
	c.remember(shard, indexes)
	summed := coveredBy(allSpans(indexes))
	l := levels[0]
	due := map[time.Time][]objstore.Object{}
	for _, o := range windows {
		if slot := l.slotOf(o.Created); !now.Before(slot.Add(l.slot + slotGrace)) {
			due[slot] = append(due[slot], o)
		}
	}
	for _, slot := range sortedKeys(due) {
		if err := c.sumWindows(ctx, newSum(l, shard, slot, indexes), due[slot], summed); err != nil {
			return err
		}
	}
	for i := range len(levels) - 1 {
		if err := c.sumLevel(ctx, now, shard, levels[i], levels[i+1], indexes); err != nil {
			return err
		}
	}
	return c.retain(ctx, now, indexes)
}

// remember keeps the indexes of a shard for the host's next round.
func (c *Compactor) remember(shard int, indexes []*index) {
	c.indexes[shard] = map[string]*index{}
	for _, x := range indexes {
		c.indexes[shard][x.name()] = x
	}
}

func sortedKeys[V any](m map[time.Time]V) []time.Time {
	return slices.SortedFunc(maps.Keys(m), time.Time.Compare)
}

// sumWindows sums the windows of a slot and removes them. Windows that a sum
// holds already, left by a round that was cut short or written a second time
// by a delayed write, are only removed.
func (c *Compactor) sumWindows(ctx context.Context, s *sum, objects []objstore.Object, summed covered) error {
	var removable []objstore.Object
	for _, o := range objects {
		w, rows, err := decodeWindow(o.Value)
		if err != nil {
			c.unreadable(o, err) // stays, so that reports go on naming it
			continue
		}
		removable = append(removable, o)
		if !summed.holds(w.Incarnation, w.Number) {
			s.addWindow(w, endOf(w, o), rows)
		}
	}
	if s.index.Windows > 0 {
		if err := c.write(ctx, s); err != nil {
			return err
		}
	}
	for _, o := range removable {
		if err := c.removeWindow(ctx, o); err != nil {
			return err
		}
	}
	c.log.Event(evCompacted).Time("slot", s.index.Slot).Uint64("windows", s.index.Windows).Int("objects", len(objects)).Msg("")
	return nil
}

// removeWindow removes a window that is in a sum, and puts it back if the platform came back from an older copy meanwhile: that may
// lack the sum.
func (c *Compactor) removeWindow(ctx context.Context, o objstore.Object) error {
	if err := c.remove(ctx, o.Kind, o.Name, o.Version); err != nil {
		return err
	}
	if c.store.Era() == c.era {
		return nil
	}
	_, err := c.store.Put(ctx, o.Kind, o.Name, 0, o.Value)
	if conflict := (*objstore.Conflict)(nil); err != nil && !errors.As(err, &conflict) {
		return errors.Join(errRestored, Error.New("put window %s back: %w", o.Name, err))
	}
	return Error.Wrap(errRestored)
}

// sumLevel sums the sums of a level whose time is over into the next level's,
// and removes them.
func (c *Compactor) sumLevel(ctx context.Context, now time.Time, shard int, from, to level, indexes []*index) error {
	over := superseded(indexes)
	slots := map[time.Time][]*index{}
	var removable []*index
	for _, x := range indexes {
		slot := to.slotOf(x.Slot)
		if x.level != from || now.Before(slot.Add(to.slot+from.keep)) {
			continue
		}
		removable = append(removable, x)
		if !over[x] {
			slots[slot] = append(slots[slot], x)
		}
	}
	for _, slot := range sortedKeys(slots) {
		if err := c.sumSums(ctx, newSum(to, shard, slot, indexes), slots[slot]); err != nil {
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

func (c *Compactor) sumSums(ctx context.Context, s *sum, parts []*index) error {
	reader, err := newPartReader(ctx, c.store, nil)
	if err != nil {
		return err
	}
	slices.SortFunc(parts, func(a, b *index) int { return strings.Compare(a.name(), b.name()) })
	for _, x := range parts {
		s.addIndex(x)
		if err := reader.rows(ctx, x, func(p timedRows) { s.addRows(p.end, p.rows) }); err != nil {
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

func (c *Compactor) unreadable(o objstore.Object, err error) {
	c.log.Event(evUnreadable).Str("object", o.Kind+"/"+o.Name).Err(err).Msg("")
}
