package delivery

import (
	"time"

	"rhubarbwood.example/rhubarbwood/internal/delivery/deliverypb"
	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

// The functions below convert the package's types to protobuf messages and
// back. Times are in Unix milliseconds; 0 is the zero time.
func millis(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

func fromMillis(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms).UTC()
}

func (i Incarnation) message() *deliverypb.Incarnation {
	return &deliverypb.Incarnation{Host: i.Host, Number: i.Number}
}

func incarnationOf(m *deliverypb.Incarnation) Incarnation {
	return Incarnation{Host: m.GetHost(), Number: m.GetNumber()}
}

func incarnationMessages(all []Incarnation) []*deliverypb.Incarnation {
	messages := make([]*deliverypb.Incarnation, 0, len(all))
	for _, i := range all {
		messages = append(messages, i.message())
	}
	return messages
}

func incarnationsOf(messages []*deliverypb.Incarnation) []Incarnation {
	var all []Incarnation
	for _, m := range messages {
		all = append(all, incarnationOf(m))
	}
	return all
}

func (w *Window) message() *deliverypb.Window {
	return &deliverypb.Window{
		Incarnation: w.Incarnation.message(), Number: w.Number, StartMs: millis(w.Start), EndMs: millis(w.End), Final: w.Final,
		Folded: w.Rows.folded, Rows: w.Rows.message(w.Rows.sorted()),
		Reservations: w.Records.reservations.message(), Exceptions: w.Records.exceptions.message(),
		Seen: incarnationMessages(w.Seen),
	}
}

// windowOfMessage returns the window with empty rows. The rows are read from
// the message; see eachRow.
func windowOfMessage(m *deliverypb.Window) *Window {
	w := &Window{
		Incarnation: incarnationOf(m.GetIncarnation()), Number: m.GetNumber(),
		Start: fromMillis(m.GetStartMs()), End: fromMillis(m.GetEndMs()), Final: m.GetFinal(),
		Rows: newRows(), Seen: incarnationsOf(m.GetSeen()),
		Records: records{reservations: sampleOf(m.GetReservations()), exceptions: sampleOf(m.GetExceptions())},
	}
	w.Rows.folded = m.GetFolded()
	return w
}

func (s *sample) message() *deliverypb.Sample {
	return &deliverypb.Sample{Kept: recordMessages(s.kept), Offered: s.offered}
}

func sampleOf(m *deliverypb.Sample) sample {
	return sample{kept: recordsOf(m.GetKept()), offered: m.GetOffered()}
}

func recordMessages(all []Record) []*deliverypb.Record {
	messages := make([]*deliverypb.Record, 0, len(all))
	for _, r := range all {
		messages = append(messages, &deliverypb.Record{
			Request: r.Request, Reservation: r.Reservation, Caller: r.Caller, Service: r.Service,
			Outcome: uint32(r.Outcome), Reason: string(r.Reason), Coverage: r.Coverage, Snapshot: r.Snapshot,
			LatencyUs: r.Latency.Microseconds(), Attempts: int64(r.Attempts), Host: r.Host, UntilMs: millis(r.WindowEnd),
		})
	}
	return messages
}

func recordsOf(messages []*deliverypb.Record) []Record {
	var all []Record
	for _, m := range messages {
		all = append(all, Record{
			Request: m.GetRequest(), Reservation: m.GetReservation(), Caller: m.GetCaller(), Service: m.GetService(),
			Outcome: outcome.Outcome(m.GetOutcome()), Reason: query.Reason(m.GetReason()), Coverage: m.GetCoverage(),
			Snapshot: m.GetSnapshot(), Latency: time.Duration(m.GetLatencyUs()) * time.Microsecond,
			Attempts: int(m.GetAttempts()), Host: m.GetHost(), WindowEnd: fromMillis(m.GetUntilMs()),
		})
	}
	return all
}

// stringTable stores each string once. Rows refer to strings by index.
type stringTable struct {
	indexes map[string]uint32
	all     []string
}

func (t *stringTable) index(s string) uint32 {
	p, ok := t.indexes[s]
	if !ok {
		p = uint32(len(t.all))
		t.indexes[s] = p
		t.all = append(t.all, s)
	}
	return p
}

// message returns the message of the rows with the given keys.
func (r *rows) message(keys []Key) *deliverypb.Rows {
	t := stringTable{indexes: map[string]uint32{}}
	messages := make([]*deliverypb.Row, 0, len(keys))
	for _, k := range keys {
		s := r.byKey[k]
		messages = append(messages, &deliverypb.Row{
			Caller: t.index(k.Caller), Service: t.index(k.Service), Reason: t.index(string(k.Reason)), Band: t.index(string(k.Band)),
			Outcome: uint32(k.Outcome), Snapshot: k.Snapshot,
			Count: s.Count, Attempts: s.Attempts, Needed: s.Needed, Latency: s.latencyPairs(),
		})
	}
	return &deliverypb.Rows{Texts: t.all, Rows: messages}
}

// eachRow calls f for each row with its key. The message must have passed
// checkRows.
func eachRow(m *deliverypb.Rows, f func(Key, *deliverypb.Row)) {
	all := m.GetTexts()
	for _, row := range m.GetRows() {
		f(Key{
			Caller: all[row.GetCaller()], Service: all[row.GetService()], Outcome: outcome.Outcome(row.GetOutcome()),
			Reason: query.Reason(all[row.GetReason()]), Band: Band(all[row.GetBand()]), Snapshot: row.GetSnapshot(),
		}, row)
	}
}

// checkRows checks that the indexes and outcomes in the rows are valid.
func checkRows(m *deliverypb.Rows) error {
	for _, row := range m.GetRows() {
		last := max(row.GetCaller(), row.GetService(), row.GetReason(), row.GetBand())
		if int(last) >= len(m.GetTexts()) || row.GetOutcome() > uint32(outcome.Done) {
			return Error.New("a row names a text or an outcome that is not there")
		}
	}
	return nil
}

// addMessage adds the rows of a message that has passed checkRows.
func (r *rows) addMessage(m *deliverypb.Rows, maxKeys int) {
	eachRow(m, func(k Key, row *deliverypb.Row) {
		s, folded := r.totalsFor(k, maxKeys)
		s.addRow(row)
		if folded {
			r.folded += row.GetCount()
		}
	})
}

func (s *Totals) addRow(row *deliverypb.Row) {
	s.Count += row.GetCount()
	s.Attempts += row.GetAttempts()
	s.Needed += row.GetNeeded()
	eachBucket(row, func(value, count int64) bool {
		s.recordLatency(value, count)
		return true
	})
}

// eachBucket calls f for each latency bucket of a row, in order of value, until
// f returns false.
func eachBucket(row *deliverypb.Row, f func(value, count int64) bool) {
	pairs := row.GetLatency()
	var value int64
	for i := 0; i+1 < len(pairs); i += 2 {
		value += pairs[i]
		if !f(value, pairs[i+1]) {
			return
		}
	}
}

// countWithin returns how many deliveries of a row took at most d, with the
// histogram's resolution of one percent.
func countWithin(row *deliverypb.Row, d time.Duration) uint64 {
	var n uint64
	limit := int64(d / latencyUnit)
	eachBucket(row, func(value, count int64) bool {
		if value > limit {
			return false
		}
		n += uint64(count)
		return true
	})
	return n
}

// latencyPairs returns the histogram as pairs of delta-encoded value and count.
func (s *Totals) latencyPairs() []int64 {
	pairs := make([]int64, 0, 2*s.Latency.Populated())
	var last int64
	s.Latency.ForEachBucket(func(value, count int64) bool {
		pairs = append(pairs, value-last, count)
		last = value
		return true
	})
	return pairs
}

func (s Span) message() *deliverypb.Span {
	return &deliverypb.Span{
		Incarnation: s.Incarnation.message(), First: s.First, Last: s.Last,
		StartMs: millis(s.Start), EndMs: millis(s.End), Final: s.Final,
	}
}

func spanOfMessage(m *deliverypb.Span) Span {
	return Span{
		Incarnation: incarnationOf(m.GetIncarnation()), First: m.GetFirst(), Last: m.GetLast(),
		Start: fromMillis(m.GetStartMs()), End: fromMillis(m.GetEndMs()), Final: m.GetFinal(),
	}
}

func (x *index) message() *deliverypb.Index {
	m := &deliverypb.Index{
		Kind: x.level.kind, SlotMs: millis(x.Slot), Shard: uint32(x.Shard), Serial: uint32(x.Serial), Parts: uint32(x.Parts),
		Windows: x.Windows, Seen: incarnationMessages(x.Seen), Folded: x.Folded, LeftOut: x.LeftOut,
	}
	for _, s := range x.Spans {
		m.Spans = append(m.Spans, s.message())
	}
	for _, r := range x.Records {
		m.Records = append(m.Records, &deliverypb.RecordSet{Name: r.Name, Parts: uint32(r.Parts)})
	}
	return m
}

func indexOfMessage(m *deliverypb.Index) (*index, error) {
	l, ok := levelOf(m.GetKind())
	if !ok {
		return nil, Error.New("index has unknown level %q", m.GetKind())
	}
	x := &index{
		level: l, Slot: fromMillis(m.GetSlotMs()), Shard: int(m.GetShard()), Serial: int(m.GetSerial()), Parts: int(m.GetParts()),
		Windows: m.GetWindows(), Seen: incarnationsOf(m.GetSeen()), Folded: m.GetFolded(), LeftOut: m.GetLeftOut(),
	}
	for _, s := range m.GetSpans() {
		x.Spans = append(x.Spans, spanOfMessage(s))
	}
	for _, r := range m.GetRecords() {
		x.Records = append(x.Records, recordSet{Name: r.GetName(), Parts: int(r.GetParts())})
	}
	return x, nil
}
