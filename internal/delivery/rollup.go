package delivery

import (
	"fmt"
	"slices"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/platform"
)

// Kinds of the objects that hold the sums of many windows. A sum is one index
// and its parts. The index is written last, so a sum without one does not
// count; it tells which windows the sum holds, so none counts twice.
const (
	kindIndex  = "window-index"
	kindFine   = "window-5m"
	kindCoarse = "window-1h"
)

// level is one resolution of sums. Windows belong to the slot in which the
// platform created them: once that has passed, no window can come to it.
type level struct {
	kind string // of its parts
	slot time.Duration
	keep time.Duration // how long its sums stay, when a coarser level follows
}

var (
	fine   = level{kind: kindFine, slot: 5 * time.Minute, keep: 7 * time.Hour}
	coarse = level{kind: kindCoarse, slot: time.Hour}
)

// settle is how long after its slot a window stays by itself, so that reports
// on the last minutes need no sums.
const settle = 6 * time.Minute

func (l level) slotOf(t time.Time) time.Time { return t.UTC().Truncate(l.slot) }

// ended returns the end of the slot in which t is the end of a window.
func (l level) ended(t time.Time) time.Time { return l.slotOf(t.Add(-1)).Add(l.slot) }

func (l level) name(slot time.Time, serial int) string {
	return fmt.Sprintf("%s.%d.%d", l.kind, slot.Unix(), serial)
}

func partName(name string, part int) string { return fmt.Sprintf("%s.%d", name, part) }

// index is the head of a sum.
type index struct {
	Kind    string        `json:"kind"` // of the parts
	Slot    time.Time     `json:"slot"`
	Serial  int           `json:"serial,omitempty"` // of several sums of one slot
	Parts   int           `json:"parts"`
	Records []recordSet   `json:"records,omitempty"`
	Windows uint64        `json:"windows"`
	Spans   []Span        `json:"spans"`
	Seen    []Incarnation `json:"seen,omitempty"` // that have no window in the sum
	Folded  uint64        `json:"folded,omitempty"`
	LeftOut uint64        `json:"left_out,omitempty"`

	version uint64 // in the platform
}

// recordSet names the objects that hold the single records of a sum.
type recordSet struct {
	Name  string `json:"name"`
	Parts int    `json:"parts"`
}

func (x *index) level() level {
	if x.Kind == coarse.kind {
		return coarse
	}
	return fine
}

func (x *index) name() string { return x.level().name(x.Slot, x.Serial) }

func (x *index) end() time.Time { return x.Slot.Add(x.level().slot) }

// timedRow is a row with the end of the slot in which it was delivered, which
// may be earlier than the slot in which its window was written.
type timedRow struct {
	End time.Time `json:"t"`
	rowObject
}

type rowPart struct {
	Rows []timedRow `json:"rows"`
}

type recordPart struct {
	Records []Record `json:"records"`
}

// sum adds windows up.
type sum struct {
	level   level
	index   index
	rows    map[time.Time]*rows
	records []Record
}

// maxSumKeys bounds the keys of one slot in a sum.
const maxSumKeys = 50_000

// newSum returns an empty sum for the slot, beside those that the slot has.
func newSum(l level, slot time.Time, indexes []*index) *sum {
	s := &sum{level: l, index: index{Kind: l.kind, Slot: slot}, rows: map[time.Time]*rows{}}
	for _, x := range indexes {
		if x.Kind == l.kind && x.Slot.Equal(slot) {
			s.index.Serial = max(s.index.Serial, x.Serial+1)
		}
	}
	return s
}

func (s *sum) addWindow(w *Window, end time.Time) {
	s.index.Windows++
	s.index.Spans = append(s.index.Spans, spanOf(w))
	s.index.Seen = append(s.index.Seen, w.Seen...)
	s.index.LeftOut += w.Records.leftOut()
	s.addRows(end, w.Rows)
	s.records = append(s.records, w.datedRecords(end)...)
}

func (s *sum) addRows(end time.Time, from *rows) {
	end = s.level.ended(end)
	if s.rows[end] == nil {
		s.rows[end] = newRows()
	}
	s.rows[end].merge(from, maxSumKeys)
}

// addIndex adds a finer sum without its rows and records.
func (s *sum) addIndex(x *index) {
	s.index.Windows += x.Windows
	s.index.Spans = append(s.index.Spans, x.Spans...)
	s.index.Seen = append(s.index.Seen, x.Seen...)
	s.index.Records = append(s.index.Records, x.Records...)
	s.index.LeftOut += x.LeftOut
	s.index.Folded += x.Folded
}

// finish completes the index but for the number of parts.
func (s *sum) finish() {
	x := &s.index
	x.Spans = joinSpans(x.Spans)
	held := coveredBy(x.Spans)
	slices.SortFunc(x.Seen, Incarnation.compare)
	x.Seen = slices.DeleteFunc(slices.Compact(x.Seen), func(i Incarnation) bool { return held[i] != nil })
	for _, r := range s.rows {
		x.Folded += r.folded
	}
}

func (s *sum) timedRows() []timedRow {
	var all []timedRow
	for _, end := range sortedTimes(s.rows) {
		for _, o := range s.rows[end].objects() {
			all = append(all, timedRow{End: end, rowObject: o})
		}
	}
	return all
}

func sortedTimes(m map[time.Time]*rows) []time.Time {
	var times []time.Time
	for t := range m {
		times = append(times, t)
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// chunkItems is how many items an object holds at most.
const chunkItems = 4000

// encodeChunks encodes the items in as many values as it takes for each to fit
// an object.
func encodeChunks[T any](items []T, wrap func([]T) any) ([][]byte, error) {
	var values [][]byte
	for chunk := range slices.Chunk(items, chunkItems) {
		more, err := encodeChunk(chunk, wrap)
		if err != nil {
			return nil, err
		}
		values = append(values, more...)
	}
	return values, nil
}

func encodeChunk[T any](items []T, wrap func([]T) any) ([][]byte, error) {
	value, err := encode(wrap(items))
	if err != nil {
		return nil, err
	}
	if len(value) <= maxValue {
		return [][]byte{value}, nil
	}
	if len(items) == 1 {
		return nil, Error.New("one item has %d bytes", len(value))
	}
	half := len(items) / 2
	first, err := encodeChunk(items[:half], wrap)
	if err != nil {
		return nil, err
	}
	second, err := encodeChunk(items[half:], wrap)
	return append(first, second...), err
}

// readIndexes takes the indexes out of a listing; the rest are windows.
func readIndexes(objects []platform.Object, unreadable func(platform.Object, error)) (indexes []*index, windows []platform.Object) {
	for _, o := range objects {
		if o.Kind != kindIndex {
			windows = append(windows, o)
			continue
		}
		x := &index{version: o.Version}
		if err := decode(o.Value, x); err != nil {
			unreadable(o, err)
			continue
		}
		indexes = append(indexes, x)
	}
	return indexes, windows
}

// allSpans returns the windows that are in sums.
func allSpans(indexes []*index) []Span {
	var spans []Span
	for _, x := range indexes {
		spans = append(spans, x.Spans...)
	}
	return joinSpans(spans)
}

// superseded returns the fine sums whose windows are all in coarse ones too.
func superseded(indexes []*index) map[*index]bool {
	var spans []Span
	for _, x := range indexes {
		if x.Kind == coarse.kind {
			spans = append(spans, x.Spans...)
		}
	}
	held := coveredBy(joinSpans(spans))
	over := map[*index]bool{}
	for _, x := range indexes {
		over[x] = x.Kind == fine.kind && !slices.ContainsFunc(x.Spans, func(s Span) bool { return !held.holdsAll(s) })
	}
	return over
}
