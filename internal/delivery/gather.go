package delivery

import (
	"context"
	"errors"
	"slices"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/delivery/deliverypb"
	"rhubarbwood.example/rhubarbwood/internal/objstore"
)

// timedRows are the sums of the deliveries of a slot, or of a window that no sum
// holds yet.
type timedRows struct {
	end  time.Time
	rows *deliverypb.Rows
}

// gathered is all that a report is made of.
type gathered struct {
	now          time.Time // by the platform's clock
	rows         []timedRows
	records      []Record
	spans        []Span
	seen         []Incarnation
	completeness Completeness
}

// gatherTries bounds how often a report begins anew because a sum that it was
// reading was replaced.
const gatherTries = 3

// gather reads what was delivered in the time since; single records only if they
// are wanted.
func (r *Reporter) gather(ctx context.Context, since time.Duration, withRecords bool) (*gathered, error) {
	if _, ok := r.store.Now(); !ok {
		if _, err := r.store.Hosts(ctx); err != nil { // any answer tells the time
			return nil, Error.New("ask the platform for its time: %w", err)
		}
	}
	now, ok := r.store.Now()
	if !ok {
		return nil, Error.New("the platform has not told its time")
	}
	g := &gathered{now: now}
	g.completeness.From = now.Add(-min(since, r.cfg.Retention.Std()))
	for shard := range MaxShards {
		if err := r.gatherShard(ctx, g, shard, withRecords); err != nil {
			return nil, err
		}
	}
	r.judge(g)
	return g, nil
}

// gatherShard reads one shard, and begins anew if a sum was replaced by a
// coarser one while it was read.
func (r *Reporter) gatherShard(ctx context.Context, g *gathered, shard int, withRecords bool) error {
	var err error
	for range gatherTries {
		one := &gathered{completeness: Completeness{From: g.completeness.From}}
		err = r.readShard(ctx, one, shard, withRecords)
		if err == nil {
			g.join(one)
			return nil
		}
		if !errors.Is(err, errPartGone) {
			break
		}
	}
	return Error.New("read shard %d: %w", shard, err)
}

// readShard lists windows and indexes at one revision, so that each window is
// in exactly one place: in a sum, or by itself.
func (r *Reporter) readShard(ctx context.Context, g *gathered, shard int, withRecords bool) error {
	listing, err := r.store.List(ctx, inShard(objstore.KindWindow, shard), inShard(kindIndex, shard))
	if err != nil {
		return Error.New("list windows: %w", err)
	}
	if now, ok := r.store.Now(); ok {
		g.now = now
	}
	indexes, windows := readIndexes(listing.Objects, nil, func(o objstore.Object, err error) { r.unreadable(g, o, err) })
	summed := coveredBy(allSpans(indexes))
	if err := r.addSums(ctx, g, indexes, withRecords); err != nil {
		return err
	}
	for _, o := range windows {
		r.addWindow(g, o, summed)
	}
	return nil
}

// join adds what was read of a shard.
func (g *gathered) join(from *gathered) {
	if from.now.After(g.now) {
		g.now = from.now
	}
	g.rows = append(g.rows, from.rows...)
	g.records = append(g.records, from.records...)
	g.spans = append(g.spans, from.spans...)
	g.seen = append(g.seen, from.seen...)
	c := &g.completeness
	c.Windows += from.completeness.Windows
	c.Folded += from.completeness.Folded
	c.LeftOut += from.completeness.LeftOut
	c.Unreadable = append(c.Unreadable, from.completeness.Unreadable...)
}

// addSums takes the sums of the report's time. A sum that is in a coarser one
// too is on its way out.
func (r *Reporter) addSums(ctx context.Context, g *gathered, indexes []*index, withRecords bool) error {
	over := superseded(indexes)
	wanted := slices.DeleteFunc(slices.Clone(indexes), func(x *index) bool {
		return !x.end().After(g.completeness.From) || over[x]
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

func (g *gathered) addIndex(x *index) {
	g.spans = append(g.spans, x.Spans...)
	g.seen = append(g.seen, x.Seen...)
	g.completeness.Windows += x.Windows
	g.completeness.Folded += x.Folded
	g.completeness.LeftOut += x.LeftOut
}

func (g *gathered) addRows(p timedRows) {
	if p.end.After(g.completeness.From) {
		g.rows = append(g.rows, p)
	}
}

func (g *gathered) addRecords(records []Record) {
	for _, rec := range records {
		if rec.Until.After(g.completeness.From) {
			g.records = append(g.records, rec)
		}
	}
}

// addWindow takes one window that no sum holds.
func (r *Reporter) addWindow(g *gathered, o objstore.Object, summed covered) {
	w, rows, err := decodeWindow(o.Value)
	if err != nil {
		r.unreadable(g, o, err)
		return
	}
	if summed.holds(w.Incarnation, w.Number) {
		return
	}
	g.spans = append(g.spans, spanOf(w))
	g.seen = append(g.seen, w.Seen...)
	end := endOf(w, o)
	if !end.After(g.completeness.From) {
		return
	}
	g.completeness.Windows++
	g.completeness.Folded += w.Rows.folded
	g.completeness.LeftOut += w.Records.leftOut()
	g.addRows(timedRows{end: end, rows: rows})
	g.addRecords(w.datedRecords(end))
}

// endOf returns when a window ended; if its host did not know, when it was written.
func endOf(w *Window, o objstore.Object) time.Time {
	if w.End.IsZero() {
		return o.Created
	}
	return w.End
}

func (r *Reporter) unreadable(g *gathered, o objstore.Object, err error) {
	name := o.Kind + "/" + o.Name
	r.log.Event(evUnreadable).Str("object", name).Err(err).Msg("")
	g.completeness.Unreadable = append(g.completeness.Unreadable, name)
}

// judge finds what is missing, by the hosts that live now.
func (r *Reporter) judge(g *gathered) {
	p := presence{spans: g.spans, seen: g.seen, from: g.completeness.From, now: g.now}
	if r.view == nil {
		p.late = r.overdue(len(g.hosts()))
		p.live = p.punctual()
		p.judge(&g.completeness)
		return
	}
	hosts := r.view.Hosts()
	p.late = r.overdue(len(hosts))
	for _, h := range hosts {
		p.live = append(p.live, Incarnation{Host: h.ID, Number: h.Incarnation})
	}
	p.judge(&g.completeness)
}

// overdue returns how long after a host's newest window the next one is overdue.
func (r *Reporter) overdue(hosts int) time.Duration { return 2*r.cfg.interval(hosts) + lateGrace }

// hosts returns the hosts that have written windows.
func (g *gathered) hosts() map[string]bool {
	hosts := map[string]bool{}
	for _, s := range g.spans {
		hosts[s.Host] = true
	}
	return hosts
}

// lateGrace is what a window may take from its end into the platform.
const lateGrace = 5 * time.Second
