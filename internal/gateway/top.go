package gateway

import (
	"bytes"
	"sort"
)

// recordBytes is the size of one record in the body of a part.
const recordBytes = 16

// topRecords keeps the greatest of all added records, in descending order. Most records are dropped
// after one comparison: 90 parts of 62 records take 60 us, where sorting all of them took 2.1 ms
// (BenchmarkMerge).
type topRecords struct {
	limit   int
	records [][]byte
}

// add adds the records of a body and ignores an incomplete record at its end. The body must not be
// modified afterwards.
func (t *topRecords) add(body []byte) {
	for ; len(body) >= recordBytes; body = body[recordBytes:] {
		t.insert(body[:recordBytes])
	}
}

func (t *topRecords) insert(record []byte) {
	full := len(t.records) >= t.limit
	if full && (t.limit <= 0 || bytes.Compare(record, t.records[len(t.records)-1]) <= 0) {
		return
	}
	at := sort.Search(len(t.records), func(i int) bool { return bytes.Compare(t.records[i], record) < 0 })
	if !full {
		t.records = append(t.records, nil)
	}
	copy(t.records[at+1:], t.records[at:])
	t.records[at] = record
}

// joined returns the records in descending order.
func (t *topRecords) joined() []byte { return bytes.Join(t.records, nil) }

// Merge returns the greatest records of the bodies in descending order.
func Merge(bodies [][]byte, limit int) []byte {
	top := topRecords{limit: limit}
	for _, b := range bodies {
		top.add(b)
	}
	return top.joined()
}
