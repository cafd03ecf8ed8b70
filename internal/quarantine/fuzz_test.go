package quarantine

import (
	"testing"
	"time"
)

// Whatever stands in the store under the kind, it is read or refused; what is read can be told to
// others, and written again as it was.
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
			return // a time of a year that JSON has no form for
		}
		if read, err := decode(again); err != nil || read.Key != r.Key || len(read.Strikes) != len(r.Strikes) {
			t.Fatalf("%v: %+v became %+v", err, r, read)
		}
		table := newTestTable()
		table.Merge([]Record{r})
		table.Merge(AllFromWire(AllToWire([]Record{r}, time.Now()), time.Now()))
		if e := table.suspects[r.Key]; e != nil && len(e.strikes) > keptStrikes {
			t.Fatalf("%d strikes", len(e.strikes))
		}
	})
}
