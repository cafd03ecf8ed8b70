package delivery

import (
	"context"
	"errors"
	"slices"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/delivery/deliverypb"
	"rhubarbwood.example/rhubarbwood/internal/objstore"
)

// timedRows are the rows of one slot of an aggregate, or of a window that is
// not in an aggregate yet. end is the end of the slot or window.
type timedRows struct {
	end  time.Time
	rows *deliverypb.Rows
}

// reportData is the data from which a report is built.
type reportData struct {
	now          time.Time // by the platform's clock
	rows         []timedRows
	records      []Record
	spans        []Span
	seen         []Incarnation
	completeness Completeness
}

// maxGatherAttempts limits how often a shard is read for one report. A read
// starts over if an aggregate is replaced by a coarser one meanwhile.
const maxGatherAttempts = 3

// gather reads the deliveries of the last since. Individual records are read
// only if withRecords is set.
func (r *Reporter) gather(ctx context.Context, since time.Duration, withRecords bool) (*reportData, error) {
	if _, ok := r.store.Now(); !ok {
		if _, err := r.store.Hosts(ctx); err != nil { // any response carries the platform's time
			return nil, Error.New("ask the platform for its time: %w", err)
		}
	}
	now, ok := r.store.Now()
	if !ok {
		return nil, Error.New("the platform has not told its time")
	}
	g := &reportData{now: now}
	g.completeness.From = now.Add(-min(since, r.cfg.Retention.Std()))
	for shard := range MaxShards {
		if err := r.gatherShard(ctx, g, shard, withRecords); err != nil {
			return nil, err
		}
	}
	r.findMissing(g)
	return g, nil
}

// gatherShard reads one shard. It starts over if an aggregate was replaced by a
// coarser one during the read.
func (r *Reporter) gatherShard(ctx context.Context, g *reportData, shard int, withRecords bool) error {
	var err error
	for range maxGatherAttempts {
		shardData := &reportData{completeness: Completeness{From: g.completeness.From}}
		err = r.readShard(ctx, shardData, shard, withRecords)
		if err == nil {
			g.merge(shardData)
			return nil
		}
		if !errors.Is(err, errPartGone) {
			break
		}
	}
	return Error.New("read shard %d: %w", shard, err)
}

// readShard lists windows and indexes at one revision, so that each window is
// found in exactly one place: in an aggregate, or as an object of its own.
func (r *Reporter) readShard(ctx context.Context, g *reportData, shard int, withRecords bool) error {
	listing, err := r.store.List(ctx, inShard(objstore.KindWindow, shard), inShard(kindIndex, shard))
	if err != nil {
		return Error.New("list windows: %w", err)
	}
	if now, ok := r.store.Now(); ok {
		g.now = now
	}
	indexes, windows := readIndexes(listing.Objects, nil, func(o objstore.Object, err error) { r.unreadable(g, o, err) })
	aggregated := windowSetOf(allSpans(indexes))
	if err := r.addAggregates(ctx, g, indexes, withRecords); err != nil {
		return err
	}
	for _, o := range windows {
		r.addWindow(g, o, aggregated)
	}
	return nil
}

// merge adds the data of one shard.
func (g *reportData) merge(from *reportData) {
	if from.now.After(g.now) {
		g.now = from.now
	}
	g.rows = append(g.rows, from.rows...)
	g.records = append(g.records, from.records...)
	g.spans = append(g.spans, from.spans...)
	g.seen = append(g.seen, from.seen...)
	c := &g.completeness
	c.Windows += from.completeness.Windows
	c.FoldedDeliveries += from.completeness.FoldedDeliveries
	c.DroppedRecords += from.completeness.DroppedRecords
	c.Unreadable = append(c.Unreadable, from.completeness.Unreadable...)
}

// addAggregates adds the aggregates within the time of the report. Aggregates
// whose windows are all in coarser ones are skipped; they are about to be
// removed.
func (r *Reporter) addAggregates(ctx context.Context, g *reportData, indexes []*index, withRecords bool) error {
	redundant := superseded(indexes)
	wanted := slices.DeleteFunc(slices.Clone(indexes), func(x *index) bool {
		return !x.end().After(g.completeness.From) || redundant[x]
	})
	reader, err := newPartReader(ctx, r.store, wanted)
	if err != nil {
		return err
	}
	for _, x := range wanted {
		g.addIndex(x)
		if err := reader.rows(ctx, x, g.addRows); err != nil {
			return err
		}
		if !withRecords {
			continue
		}
		records, err := reader.records(ctx, x)
		if err != nil {
			return err
		}
		g.addRecords(records)
	}
	return nil
}

func (g *reportData) addIndex(x *index) {
	g.spans = append(g.spans, x.Spans...)
	g.seen = append(g.seen, x.Seen...)
	g.completeness.Windows += x.Windows
	g.completeness.FoldedDeliveries += x.Folded
	g.completeness.DroppedRecords += x.LeftOut
}

func (g *reportData) addRows(p timedRows) {
	if p.end.After(g.completeness.From) {
		g.rows = append(g.rows, p)
	}
}

func (g *reportData) addRecords(records []Record) {
	for _, rec := range records {
		if rec.WindowEnd.After(g.completeness.From) {
			g.records = append(g.records, rec)
		}
	}
}

// addWindow adds a window unless an aggregate contains it.
func (r *Reporter) addWindow(g *reportData, o objstore.Object, aggregated windowSet) {
	w, rows, err := decodeWindow(o.Value)
	if err != nil {
		r.unreadable(g, o, err)
		return
	}
	if aggregated.contains(w.Incarnation, w.Number) {
		return
	}
	g.spans = append(g.spans, spanOf(w))
	g.seen = append(g.seen, w.Seen...)
	end := windowEnd(w, o)
	if !end.After(g.completeness.From) {
		return
	}
	g.completeness.Windows++
	g.completeness.FoldedDeliveries += w.Rows.folded
	g.completeness.DroppedRecords += w.Records.leftOut()
	g.addRows(timedRows{end: end, rows: rows})
	g.addRecords(w.datedRecords(end))
}

// windowEnd returns the end time of a window, or its write time if its host did
// not know the platform's clock.
func windowEnd(w *Window, o objstore.Object) time.Time {
	if w.End.IsZero() {
		return o.Created
	}
	return w.End
}

func (r *Reporter) unreadable(g *reportData, o objstore.Object, err error) {
	name := o.Kind + "/" + o.Name
	r.log.Event(evUnreadable).Str("object", name).Err(err).Msg("")
	g.completeness.Unreadable = append(g.completeness.Unreadable, name)
}

// findMissing determines which windows are missing, based on the hosts that are
// alive now. Without a membership view a host counts as alive until its next
// window is overdue.
func (r *Reporter) findMissing(g *reportData) {
	p := hostEvidence{spans: g.spans, seen: g.seen, from: g.completeness.From, now: g.now}
	if r.view == nil {
		p.overdueAfter = r.overdueAfter(len(g.hosts()))
		p.live = p.notOverdue()
		p.fillIncomplete(&g.completeness)
		return
	}
	hosts := r.view.Hosts()
	p.overdueAfter = r.overdueAfter(len(hosts))
	for _, h := range hosts {
		p.live = append(p.live, Incarnation{Host: h.ID, Number: h.Incarnation})
	}
	p.fillIncomplete(&g.completeness)
}

// overdueAfter returns the time from the end of a host's newest window after
// which its next one is overdue.
func (r *Reporter) overdueAfter(hosts int) time.Duration {
	return 2*r.cfg.interval(hosts) + maxWriteDelay
}

// hosts returns the ids of the hosts that have written windows.
func (g *reportData) hosts() map[string]bool {
	hosts := map[string]bool{}
	for _, s := range g.spans {
		hosts[s.Host] = true
	}
	return hosts
}

// maxWriteDelay is the time allowed from the end of a window until it is stored
// in the platform.
const maxWriteDelay = 5 * time.Second
