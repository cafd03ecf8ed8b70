package delivery

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"rhubarbwood.example/rhubarbwood/internal/delivery/deliverypb"
	"rhubarbwood.example/rhubarbwood/internal/objstore"
)

// kindIndex is the kind of the indexes of aggregates. The parts of an aggregate
// have another kind, which depends on its level. An aggregate consists of one
// index and its parts. The index is written last, and an aggregate without an
// index does not count. The index lists the windows in the aggregate, so that
// none is counted twice.
const kindIndex = "window-index"

// MaxShards is the number of shards that are read. All windows of a host are in
// one shard, so shards are aggregated and read independently, each of limited
// size.
const MaxShards = 16

// inShard returns the platform kind for kind in a shard.
func inShard(kind string, shard int) string {
	if shard == 0 {
		return kind
	}
	return fmt.Sprintf("%s.%d", kind, shard)
}

// shardOf returns the shard of a host's windows.
func shardOf(host string, shards int) int {
	return int(xxhash.Sum64String(host) % uint64(shards))
}

// level is one time resolution of aggregates. A window belongs to the slot in
// which the platform created it: once the slot has passed, no window can be
// added to it.
type level struct {
	order      int    // index in levels
	kind       string // of the parts of its aggregates
	slot       time.Duration
	mergeDelay time.Duration // time from the end of the next level's slot until this level's aggregates are merged into it
}

// levels are the time resolutions, finest first. The burn rate over five
// minutes has a resolution of one minute; the burn rates over one and six hours
// have a resolution of five minutes.
var levels = []level{
	{order: 0, kind: "window-1m", slot: time.Minute, mergeDelay: 10 * time.Minute},
	{order: 1, kind: "window-5m", slot: 5 * time.Minute, mergeDelay: 7 * time.Hour},
	{order: 2, kind: "window-1h", slot: time.Hour},
}

func levelOf(kind string) (level, bool) {
	for _, l := range levels {
		if l.kind == kind {
			return l, true
		}
	}
	return level{}, false
}

// slotGrace is the minimum time from the end of a slot until its windows are
// aggregated. It allows for hosts whose estimate of the platform's clock is off
// by a few seconds.
const slotGrace = 15 * time.Second

func (l level) slotOf(t time.Time) time.Time { return t.UTC().Truncate(l.slot) }

// slotEnd returns the end of the slot that contains a window ending at t.
func (l level) slotEnd(t time.Time) time.Time { return l.slotOf(t.Add(-1)).Add(l.slot) }

// partName returns the name of one part of the rows or records of an aggregate.
func partName(name string, part int) string { return fmt.Sprintf("%s.%d", name, part) }

// index describes an aggregate.
type index struct {
	level   level
	Slot    time.Time
	Shard   int
	Serial  int // distinguishes several aggregates of one slot
	Parts   int
	Records []recordSet
	Windows uint64
	Spans   []Span
	Seen    []Incarnation // incarnations that were seen by other hosts and have no window in the aggregate
	Folded  uint64
	LeftOut uint64

	version uint64 // object version in the platform
}

// recordSet names the objects that contain individual records of an aggregate.
type recordSet struct {
	Name  string
	Parts int
}

// name returns the name of the index. The names of its parts add the part
// number.
func (x *index) name() string {
	return fmt.Sprintf("%s.%d.%d.%d", x.level.kind, x.Shard, x.Slot.Unix(), x.Serial)
}

func (x *index) kind() string { return inShard(kindIndex, x.Shard) }

func (x *index) partKind() string { return inShard(x.level.kind, x.Shard) }

func (x *index) end() time.Time { return x.Slot.Add(x.level.slot) }

// aggregate accumulates the rows and records of many windows.
type aggregate struct {
	index   index
	rows    map[time.Time]*rows // by end of the slot in which they were delivered, which may be earlier than the aggregate's slot
	records []Record
}

// maxAggregateKeys limits the keys of one slot in an aggregate.
const maxAggregateKeys = 50_000

// newAggregate returns an empty aggregate for the slot. Its serial is one more
// than the highest serial of the slot in indexes.
func newAggregate(l level, shard int, slot time.Time, indexes []*index) *aggregate {
	s := &aggregate{index: index{level: l, Shard: shard, Slot: slot}, rows: map[time.Time]*rows{}}
	for _, x := range indexes {
		if x.level == l && x.Slot.Equal(slot) {
			s.index.Serial = max(s.index.Serial, x.Serial+1)
		}
	}
	return s
}

func (s *aggregate) addWindow(w *Window, end time.Time, rows *deliverypb.Rows) {
	s.index.Windows++
	s.index.Spans = append(s.index.Spans, spanOf(w))
	s.index.Seen = append(s.index.Seen, w.Seen...)
	s.index.LeftOut += w.Records.leftOut()
	s.index.Folded += w.Rows.folded
	s.addRows(end, rows)
	s.records = append(s.records, w.datedRecords(end)...)
}

func (s *aggregate) addRows(end time.Time, from *deliverypb.Rows) {
	end = s.index.level.slotEnd(end)
	if s.rows[end] == nil {
		s.rows[end] = newRows()
	}
	s.rows[end].addMessage(from, maxAggregateKeys)
}

// addIndex adds a finer aggregate without its rows, and with references to its
// records.
func (s *aggregate) addIndex(x *index) {
	s.index.Windows += x.Windows
	s.index.Spans = append(s.index.Spans, x.Spans...)
	s.index.Seen = append(s.index.Seen, x.Seen...)
	s.index.Records = append(s.index.Records, x.Records...)
	s.index.LeftOut += x.LeftOut
	s.index.Folded += x.Folded
}

// finish completes the index except for the number of parts.
func (s *aggregate) finish() {
	x := &s.index
	x.Spans = joinSpans(x.Spans)
	written := windowSetOf(x.Spans)
	slices.SortFunc(x.Seen, Incarnation.compare)
	x.Seen = slices.DeleteFunc(slices.Compact(x.Seen), func(i Incarnation) bool { return written[i] != nil })
	for _, r := range s.rows {
		x.Folded += r.folded
	}
}

// timedKey identifies one row of an aggregate.
type timedKey struct {
	end time.Time
	key Key
}

func (s *aggregate) timedKeys() []timedKey {
	var all []timedKey
	for _, end := range sortedKeys(s.rows) {
		for _, k := range s.rows[end].sorted() {
			all = append(all, timedKey{end: end, key: k})
		}
	}
	return all
}

// part returns the message of some rows, which must be sorted by slot.
func (s *aggregate) part(keys []timedKey) proto.Message {
	m := &deliverypb.RowPart{}
	for len(keys) > 0 {
		end := keys[0].end
		var ofSlot []Key
		for len(keys) > 0 && keys[0].end.Equal(end) {
			ofSlot = append(ofSlot, keys[0].key)
			keys = keys[1:]
		}
		m.Slots = append(m.Slots, &deliverypb.Slot{EndMs: millis(end), Rows: s.rows[end].message(ofSlot)})
	}
	return m
}

// maxChunkItems is the maximum number of rows or records in one object.
const maxChunkItems = 4000

// encodeChunks encodes the items into as many values as are needed for each to
// fit into one object.
func encodeChunks[T any](items []T, wrap func([]T) proto.Message) ([][]byte, error) {
	var values [][]byte
	for chunk := range slices.Chunk(items, maxChunkItems) {
		more, err := encodeChunk(chunk, wrap)
		if err != nil {
			return nil, err
		}
		values = append(values, more...)
	}
	return values, nil
}

func encodeChunk[T any](items []T, wrap func([]T) proto.Message) ([][]byte, error) {
	value, err := encode(wrap(items))
	if err != nil {
		return nil, err
	}
	if len(value) <= maxValueBytes {
		return [][]byte{value}, nil
	}
	if len(items) == 1 {
		return nil, Error.New("encode: one item takes %d bytes, which does not fit into an object", len(value))
	}
	half := len(items) / 2
	first, err := encodeChunk(items[:half], wrap)
	if err != nil {
		return nil, err
	}
	second, err := encodeChunk(items[half:], wrap)
	return append(first, second...), err
}

// readIndexes separates the indexes in a listing from the windows. An index
// object never changes, so indexes in known with the same version are not
// decoded again.
func readIndexes(objects []objstore.Object, known map[string]*index, unreadable func(objstore.Object, error)) (indexes []*index, windows []objstore.Object) {
	for _, o := range objects {
		if !strings.HasPrefix(o.Kind, kindIndex) {
			windows = append(windows, o)
			continue
		}
		if x, ok := known[o.Name]; ok && x.version == o.Version {
			indexes = append(indexes, x)
			continue
		}
		x, err := readIndex(o)
		if err != nil {
			unreadable(o, err)
			continue
		}
		indexes = append(indexes, x)
	}
	return indexes, windows
}

func readIndex(o objstore.Object) (*index, error) {
	m := &deliverypb.Index{}
	if err := decode(o.Value, m); err != nil {
		return nil, err
	}
	x, err := indexOfMessage(m)
	if err != nil {
		return nil, err
	}
	x.version = o.Version
	return x, nil
}

// allSpans returns the spans of the windows that are in aggregates.
func allSpans(indexes []*index) []Span {
	var spans []Span
	for _, x := range indexes {
		spans = append(spans, x.Spans...)
	}
	return joinSpans(spans)
}

// superseded returns the aggregates whose windows are all contained in coarser
// aggregates too.
func superseded(indexes []*index) map[*index]bool {
	redundant := map[*index]bool{}
	for _, l := range levels {
		coarser := slices.DeleteFunc(slices.Clone(indexes), func(x *index) bool { return x.level.order <= l.order })
		inCoarser := windowSetOf(allSpans(coarser))
		for _, x := range indexes {
			if x.level == l {
				redundant[x] = !slices.ContainsFunc(x.Spans, func(s Span) bool { return !inCoarser.containsAll(s) })
			}
		}
	}
	return redundant
}
