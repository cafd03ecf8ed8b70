package delivery

import (
	"context"
	"errors"
	"slices"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/delivery/deliverypb"
	"rhubarbwood.example/rhubarbwood/internal/platform"
)

// piece is the sums of some deliveries that ended at a moment.
type piece struct {
	end  time.Time
	rows *deliverypb.Rows
}

// material is all that a report is made of.
type material struct {
	now          time.Time // by the platform's clock
	pieces       []piece
	records      []Record
	spans        []Span
	seen         []Incarnation
	completeness Completeness
}

// gatherTries bounds how often a report begins anew because a sum that it was
// reading was replaced.
const gatherTries = 3

// gather reads what was delivered since; records only if they are wanted.
func (r *Reporter) gather(ctx context.Context, since time.Duration, withRecords bool) (*material, error) {
	if _, ok := r.store.Now(); !ok {
		if _, err := r.store.Hosts(ctx); err != nil { // any answer tells the time
			return nil, Error.New("ask the platform for its time: %w", err)
		}
	}
	now, ok := r.store.Now()
	if !ok {
		return nil, Error.New("the platform has not told its time")
	}
	m := &material{now: now}
	m.completeness.From = now.Add(-min(since, r.cfg.Retention.Std()))
	for shard := range MaxShards {
		if err := r.gatherShard(ctx, m, shard, withRecords); err != nil {
			return nil, err
		}
	}
	r.judge(m)
	return m, nil
}

// gatherShard reads one shard, and begins anew if a sum was replaced by a
// coarser one while it was read.
func (r *Reporter) gatherShard(ctx context.Context, m *material, shard int, withRecords bool) error {
	var err error
	for range gatherTries {
		one := &material{completeness: Completeness{From: m.completeness.From}}
		err = r.readShard(ctx, one, shard, withRecords)
		if err == nil {
			m.join(one)
			return nil
		}
		if !errors.Is(err, errPartGone) {
			break
		}
	}
	return err
}

// readShard lists windows and indexes at one revision, so that each window is
// in exactly one place: in a sum, or by itself.
func (r *Reporter) readShard(ctx context.Context, m *material, shard int, withRecords bool) error {
	listing, err := r.store.List(ctx, inShard(platform.KindWindow, shard), inShard(kindIndex, shard))
	if err != nil {
		return Error.New("list windows: %w", err)
	}
	if now, ok := r.store.Now(); ok {
		m.now = now
	}
	indexes, windows := readIndexes(listing.Objects, nil, func(o platform.Object, err error) { r.unreadable(m, o, err) })
	summed := coveredBy(allSpans(indexes))
	if err := r.addSums(ctx, m, indexes, withRecords); err != nil {
		return err
	}
	for _, o := range windows {
		r.addWindow(m, o, summed)
	}
	return nil
}

// join adds what was read of a shard.
func (m *material) join(from *material) {
	if from.now.After(m.now) {
		m.now = from.now
	}
	m.pieces = append(m.pieces, from.pieces...)
	m.records = append(m.records, from.records...)
	m.spans = append(m.spans, from.spans...)
	m.seen = append(m.seen, from.seen...)
	c := &m.completeness
	c.Windows += from.completeness.Windows
	c.Folded += from.completeness.Folded
	c.LeftOut += from.completeness.LeftOut
	c.Unreadable = append(c.Unreadable, from.completeness.Unreadable...)
}

// addSums takes the sums of the report's time. A sum that is in a coarser one
// too is on its way out.
func (r *Reporter) addSums(ctx context.Context, m *material, indexes []*index, withRecords bool) error {
	over := superseded(indexes)
	wanted := slices.DeleteFunc(slices.Clone(indexes), func(x *index) bool {
		return !x.end().After(m.completeness.From) || over[x]
	})
	reader, err := newPartReader(ctx, r.store, wanted)
	if err != nil {
		return err
	}
	for _, x := range wanted {
		m.addIndex(x)
		if err := reader.rows(ctx, x, m.addPiece); err != nil {
			return err
		}
		if !withRecords {
			continue
		}
		records, err := reader.records(ctx, x)
		if err != nil {
			return err
		}
		m.addRecords(records)
	}
	return nil
}

func (m *material) addIndex(x *index) {
	m.spans = append(m.spans, x.Spans...)
	m.seen = append(m.seen, x.Seen...)
	m.completeness.Windows += x.Windows
	m.completeness.Folded += x.Folded
	m.completeness.LeftOut += x.LeftOut
}

func (m *material) addPiece(p piece) {
	if p.end.After(m.completeness.From) {
		m.pieces = append(m.pieces, p)
	}
}

func (m *material) addRecords(records []Record) {
	for _, rec := range records {
		if rec.Until.After(m.completeness.From) {
			m.records = append(m.records, rec)
		}
	}
}

// addWindow takes one window that no sum holds.
func (r *Reporter) addWindow(m *material, o platform.Object, summed covered) {
	w, rows, err := decodeWindow(o.Value)
	if err != nil {
		r.unreadable(m, o, err)
		return
	}
	if summed.holds(w.Incarnation, w.Number) {
		return
	}
	m.spans = append(m.spans, spanOf(w))
	m.seen = append(m.seen, w.Seen...)
	end := endOf(w, o)
	if !end.After(m.completeness.From) {
		return
	}
	m.completeness.Windows++
	m.completeness.Folded += w.Rows.folded
	m.completeness.LeftOut += w.Records.leftOut()
	m.addPiece(piece{end: end, rows: rows})
	m.addRecords(w.datedRecords(end))
}

// endOf returns when a window ended; if its host did not know, when it was written.
func endOf(w *Window, o platform.Object) time.Time {
	if w.End.IsZero() {
		return o.Created
	}
	return w.End
}

func (r *Reporter) unreadable(m *material, o platform.Object, err error) {
	name := o.Kind + "/" + o.Name
	r.log.Event(evUnreadable).Str("object", name).Err(err).Msg("")
	m.completeness.Unreadable = append(m.completeness.Unreadable, name)
}

func (r *Reporter) judge(m *material) {
	hosts := r.view.Hosts()
	p := presence{
		spans: m.spans, seen: m.seen, from: m.completeness.From, now: m.now,
		late: 2*r.cfg.interval(len(hosts)) + lateGrace,
	}
	for _, h := range hosts {
		p.live = append(p.live, Incarnation{Host: h.ID, Number: h.Incarnation})
	}
	p.judge(&m.completeness)
}

// lateGrace is what a window may take from its end into the platform.
const lateGrace = 5 * time.Second
