package settings

import (
	"errors"
	"flag"
	"os"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"rhubarbwood.example/rhubarbwood/internal/unit"
)

// TestMain fixes the seed of the property tests, so that every run has the same
// result.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	flag.Parse()
	os.Exit(m.Run())
}

func drawFleet(t *rapid.T) fleet {
	zones := rapid.MapOf(rapid.StringMatching(`[a-z/~ "]{1,6}`), rapid.Custom(func(t *rapid.T) zone {
		return zone{
			Hosts: rapid.IntRange(1, 1000).Draw(t, "hosts"),
			Delay: unit.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "delay")),
		}
	}))
	raise := rapid.Int().Draw(t, "raise")
	return fleet{
		Zones: zones.Draw(t, "zones"),
		Ports: rapid.SliceOf(rapid.Uint16()).Draw(t, "ports"),
		Ratio: rapid.Float64Range(-1e9, 1e9).Draw(t, "ratio"),
		Quiet: rapid.Bool().Draw(t, "quiet"),
		Raise: &raise,
	}
}

// The output of EffectiveJSON parses to the same settings.
func TestEffectiveReadsBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text, err := EffectiveJSON(drawFleet(t))
		if err != nil {
			t.Fatal(err)
		}
		read, err := Parse("f", []byte(text), fleet{})
		if err != nil {
			t.Fatal(err)
		}
		again, err := EffectiveJSON(read)
		if err != nil || again != text {
			t.Fatalf("parsed and encoded again: got %s, error %v", again, err)
		}
	})
}

// A file with a damaged part is either parsed, or refused with problems whose
// positions are inside the file.
func TestEveryProblemHasAPlaceInTheFile(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text, err := EffectiveJSON(drawFleet(t))
		if err != nil {
			t.Fatal(err)
		}
		cut := rapid.IntRange(0, len(text)).Draw(t, "cut")
		end := rapid.IntRange(cut, min(cut+20, len(text))).Draw(t, "end")
		text = text[:cut] + rapid.SampledFrom([]string{"", "x", "null", "{}", "[", `"`, "-", "/*", "\n", "1e999"}).Draw(t, "put") + text[end:]
		_, err = Parse("f", []byte(text), fleet{})
		var problems Problems
		if err != nil && !errors.As(err, &problems) {
			t.Fatalf("error is not of type Problems: %v", err)
		}
		lines := strings.Split(text, "\n")
		for _, p := range problems {
			if p.Line < 1 || p.Line > len(lines) || p.Column < 1 || p.Column > len(lines[p.Line-1])+1 || p.Text == "" {
				t.Fatalf("position %d:%d is not in the file: %v", p.Line, p.Column, p)
			}
		}
	})
}
