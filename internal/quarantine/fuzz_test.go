package quarantine

import (
	"testing"
	"time"
)

// Any object of the kind in the store is either decoded or refused; a decoded record can be encoded
// again for the store and for other hosts.
func FuzzStoredRecord(f *testing.F) {
	good, err := encode(recordOf(testRequest("/x"), strikeOf(1, "s"), strikeOf(2, "t")))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	for _, text := range []string{`{"key":7}`, `null`, `{"key":"ab"}`, `[]`, `{"key":"00112233445566778899aabbccddeeff","strikes":[{"at":"x"}]}`} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		r, err := decode(text)
		if err != nil {
			return
		}
		again, err := encode(r)
		if err != nil {
			return // a time in a year that JSON cannot encode
		}
		if read, err := decode(again); err != nil || read.Key != r.Key || len(read.Strikes) != len(r.Strikes) {
			t.Fatalf("%v: %+v became %+v", err, r, read)
		}
		table := newTestTable()
		table.Merge([]Record{r})
		table.Merge(AllFromWire(AllToWire([]Record{r}, time.Now()), time.Now()))
		if e := table.suspects[r.Key]; e != nil && len(e.strikes) > maxStrikes {
			t.Fatalf("%d strikes", len(e.strikes))
		}
	})
}
