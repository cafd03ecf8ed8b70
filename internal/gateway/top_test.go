package gateway

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// mergeBySorting implements Merge by sorting all records.
func mergeBySorting(bodies [][]byte, most int) []byte {
	var records [][]byte
	for _, b := range bodies {
		for ; len(b) >= recordBytes; b = b[recordBytes:] {
			records = append(records, b[:recordBytes])
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	return slices.Concat(records[:min(most, len(records))]...)
}

func TestMergeKeepsTheGreatest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := rapid.Custom(func(t *rapid.T) []byte {
			few := rapid.ByteRange(0, 2) // makes equal records likely
			return rapid.SliceOfN(few, 0, 70).Draw(t, "body")
		})
		bodies := rapid.SliceOfN(body, 0, 8).Draw(t, "bodies")
		most := rapid.IntRange(0, 12).Draw(t, "most")
		if got, want := Merge(bodies, most), mergeBySorting(bodies, most); !bytes.Equal(got, want) {
			t.Fatalf("got %v, want %v", got, want)
		}
	})
}

// BenchmarkMerge merges the parts of a query of 90 shards.
func BenchmarkMerge(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 1))
	bodies := make([][]byte, 90)
	for i := range bodies {
		bodies[i] = make([]byte, 62*recordBytes)
		for j := range bodies[i] {
			bodies[i][j] = byte(rng.Uint32())
		}
	}
	for name, merge := range map[string]func([][]byte, int) []byte{"kept": Merge, "sorted": mergeBySorting} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				merge(bodies, 50)
			}
		})
	}
}
