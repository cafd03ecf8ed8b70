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

// Kinds of the objects that hold the sums of many windows, apart from the kind
// of their parts, which is the level's. A sum is one index and its parts. The
// index is written last, so a sum without one does not count; it tells which
// windows the sum holds, so none counts twice.
const kindIndex = "window-index"

// MaxShards is the number of shards that are read. A host's windows are all in
// one shard, so shards are summed and read apart, each within bounds.
const MaxShards = 16

// inShard returns the kind in a shard.
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

// level is one resolution of sums. Windows belong to the slot in which the
// platform created them: once that has passed, no window can come to it.
type level struct {
	order int    // in levels
	kind  string // of its parts
	slot  time.Duration
	keep  time.Duration // after the next level's slot, in which its sums stay as they are
}

// levels are the resolutions, finest first. The burn over five minutes is known
// to the minute, the burn over an hour and six to five minutes.
var levels = []level{
	{order: 0, kind: "window-1m", slot: time.Minute, keep: 10 * time.Minute},
	{order: 1, kind: "window-5m", slot: 5 * time.Minute, keep: 7 * time.Hour},
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

// slotGrace is how long after the end of a slot its windows are summed up at the
// earliest. It allows for hosts that know the platform's clock to a few seconds
// only.
const slotGrace = 15 * time.Second

func (l level) slotOf(t time.Time) time.Time { return t.UTC().Truncate(l.slot) }

// ended returns the end of the slot in which t is the end of a window.
func (l level) ended(t time.Time) time.Time { return l.slotOf(t.Add(-1)).Add(l.slot) }

// partName names one of the objects that hold the rows or records of a sum.
func partName(name string, part int) string { return fmt.Sprintf("%s.%d", name, part) }

// index is the head of a sum.
type index struct {
	level   level
	Slot    time.Time
	Shard   int
	Serial  int // of several sums of one slot
	Parts   int
	Records []recordSet
	Windows uint64
	Spans   []Span
	Seen    []Incarnation // that have no window in the sum
	Folded  uint64
	LeftOut uint64

	version uint64 // in the platform
}

// recordSet names the objects that hold the single records of a sum.
type recordSet struct {
	Name  string
	Parts int
}

// name is that of the index; its parts have it with their number.
func (x *index) name() string {
	return fmt.Sprintf("%s.%d.%d.%d", x.level.kind, x.Shard, x.Slot.Unix(), x.Serial)
}

func (x *index) kind() string { return inShard(kindIndex, x.Shard) }

func (x *index) partKind() string { return inShard(x.level.kind, x.Shard) }

func (x *index) end() time.Time { return x.Slot.Add(x.level.slot) }

// sum adds windows up.
type sum struct {
	index   index
	rows    map[time.Time]*rows // by end of the slot in which they were delivered, which may be earlier than the sum's
	records []Record
}

// maxSumKeys bounds the keys of one slot in a sum.
const maxSumKeys = 50_000

// newSum returns an empty sum for the slot, beside those that the slot has.
func newSum(l level, shard int, slot time.Time, indexes []*index) *sum {
	s := &sum{index: index{level: l, Shard: shard, Slot: slot}, rows: map[time.Time]*rows{}}
	for _, x := range indexes {
		if x.level == l && x.Slot.Equal(slot) {
			s.index.Serial = max(s.index.Serial, x.Serial+1)
		}
	}
	return s
}

func (s *sum) addWindow(w *Window, end time.Time, rows *deliverypb.Rows) {
	s.index.Windows++
	s.index.Spans = append(s.index.Spans, spanOf(w))
	s.index.Seen = append(s.index.Seen, w.Seen...)
	s.index.LeftOut += w.Records.leftOut()
	s.index.Folded += w.Rows.folded
	s.addRows(end, rows)
	s.records = append(s.records, w.datedRecords(end)...)
}

func (s *sum) addRows(end time.Time, from *deliverypb.Rows) {
	end = s.index.level.ended(end)
	if s.rows[end] == nil {
		s.rows[end] = newRows()
	}
	s.rows[end].addMessage(from, maxSumKeys)
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

// timedKey is one row of a sum.
type timedKey struct {
	end time.Time
	key Key
}

func (s *sum) timedKeys() []timedKey {
	var all []timedKey
	for _, end := range sortedKeys(s.rows) {
		for _, k := range s.rows[end].sorted() {
			all = append(all, timedKey{end: end, key: k})
		}
	}
	return all
}

// part returns the message of some rows, which are sorted by slot.
func (s *sum) part(keys []timedKey) proto.Message {
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

// chunkItems is how many items an object holds at most.
const chunkItems = 4000

// encodeChunks encodes the items in as many values as it takes for each to fit
// an object.
func encodeChunks[T any](items []T, wrap func([]T) proto.Message) ([][]byte, error) {
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

func encodeChunk[T any](items []T, wrap func([]T) proto.Message) ([][]byte, error) {
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

// readIndexes takes the indexes out of a listing; the rest are windows. An
// index never changes, so those that are known need no decoding.
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

// allSpans returns the windows that are in sums.
func allSpans(indexes []*index) []Span {
	var spans []Span
	for _, x := range indexes {
		spans = append(spans, x.Spans...)
	}
	return joinSpans(spans)
}

// superseded returns the sums whose windows are all in coarser ones too.
func superseded(indexes []*index) map[*index]bool {
	over := map[*index]bool{}
	for _, l := range levels {
		coarser := slices.DeleteFunc(slices.Clone(indexes), func(x *index) bool { return x.level.order <= l.order })
		held := coveredBy(allSpans(coarser))
		for _, x := range indexes {
			if x.level == l {
				over[x] = !slices.ContainsFunc(x.Spans, func(s Span) bool { return !held.holdsAll(s) })
			}
		}
	}
	return over
}
