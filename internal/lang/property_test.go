package lang

import (
	"encoding/json"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var (
	anyName = rapid.OneOf(
		rapid.StringMatching(`[a-z][a-z0-9_.\-]{0,12}`),
		rapid.SampledFrom([]string{"service", "Workload", "limit", "set", "of", "3d", "é\"\\ x"}),
	)
	anyField    = rapid.StringMatching(`[a-z][a-z0-9_.]{0,8}`)
	anyDuration = rapid.Custom(func(t *rapid.T) time.Duration { return time.Duration(rapid.Int64Range(0, 1e17).Draw(t, "ns")) })
	anyText     = rapid.StringN(0, 20, 60)
	anyVersion  = rapid.Uint64Min(1)
	anyCount    = rapid.IntRange(0, 1000)
	anyJSON     = rapid.Custom(func(t *rapid.T) json.RawMessage {
		b, _ := json.Marshal(map[string]string{"k": anyText.Draw(t, "json")})
		return b
	})
	anyValue = rapid.Custom(func(t *rapid.T) Value {
		switch ValueKind(rapid.IntRange(0, 4).Draw(t, "kind")) {
		case Word:
			return Value{Word, anyField.Draw(t, "word")}
		case Text:
			return Value{Text, anyText.Draw(t, "text")}
		case Number:
			return Value{Number, rapid.StringMatching(`-?(0|[1-9][0-9]{0,5})(\.[0-9]{1,3})?`).Draw(t, "number")}
		case Duration:
			return Value{Duration, rapid.StringMatching(`[1-9][0-9]{0,3}(ms|s|m|h|d)`).Draw(t, "duration")}
		}
		return Value{JSON, string(anyJSON.Draw(t, "value"))}
	})
)

// anySet draws assignments to distinct keys.
func anySet(t *rapid.T) []Assignment {
	keys := rapid.SliceOfNDistinct(anyField, 1, 4, rapid.ID[string]).Draw(t, "keys")
	var set []Assignment
	for _, k := range keys {
		set = append(set, Assignment{k, anyValue.Draw(t, "value")})
	}
	return set
}

func anyShow(t *rapid.T) Show {
	s := Show{
		Subject: rapid.SampledFrom([]Subject{Services, Targets, Hosts, Config, Answers, Coverage, Burn}).Draw(t, "subject"),
		Since:   anyDuration.Draw(t, "since"), Limit: anyCount.Draw(t, "limit"),
	}
	for range rapid.IntRange(0, 3).Draw(t, "conditions") {
		s.Where = append(s.Where, Condition{anyField.Draw(t, "field"), rapid.Bool().Draw(t, "not"), anyText.Draw(t, "value")})
	}
	for range rapid.IntRange(0, 3).Draw(t, "groups") {
		s.By = append(s.By, anyField.Draw(t, "by"))
	}
	return s
}

func anyChange(t *rapid.T) Change {
	name := anyName.Draw(t, "name")
	switch rapid.IntRange(0, 7).Draw(t, "change") {
	case 0:
		return CreateService{Name: name, JSON: anyJSON.Draw(t, "json")}
	case 1:
		return CreateService{Name: name, Set: anySet(t)}
	case 2:
		return AlterService{Name: name, Set: anySet(t), Version: anyVersion.Draw(t, "version")}
	case 3:
		return DropService{Name: name, Version: anyVersion.Draw(t, "version")}
	case 4:
		return DrainTarget{Target: name}
	case 5:
		return UndrainTarget{Target: name, Service: anyName.Draw(t, "of")}
	case 6:
		return RetireSnapshot{Workload: name, ID: anyVersion.Draw(t, "id")}
	}
	return PublishSnapshot{JSON: anyJSON.Draw(t, "json")}
}

func anyStatement(t *rapid.T) Statement {
	switch rapid.IntRange(0, 5).Draw(t, "statement") {
	case 0:
		return Search{Workload: anyName.Draw(t, "workload"), Text: anyText.Draw(t, "text"), Limit: anyCount.Draw(t, "limit"),
			MinCoverage: rapid.SampledFrom([]float64{-1, 0, 0.1, 0.95, 1}).Draw(t, "coverage"), Budget: anyDuration.Draw(t, "budget")}
	case 1:
		return Search{Service: anyName.Draw(t, "service"), Text: anyText.Draw(t, "text"), MinCoverage: -1}
	case 2:
		return Reserve{Item: anyText.Draw(t, "item"), Service: anyName.Draw(t, "service"), Budget: anyDuration.Draw(t, "budget")}
	case 3:
		return anyShow(t)
	case 4:
		return ShowClaim{ID: anyName.Draw(t, "id")}
	}
	if rapid.Bool().Draw(t, "dry run") {
		return DryRun{anyChange(t)}
	}
	return anyChange(t)
}

// TestStringIsReadBack checks that the text of a statement parses to the same
// statement.
func TestStringIsReadBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		want := anyStatement(t)
		got, err := Parse(want.String())
		is.NoErr(err)
		is.Equal(got, want)
	})
}

// FuzzParse checks that any text either parses to a statement whose canonical form
// parses again, or results in an *Error with a position and an expectation.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		`search workload a "b" limit 3 min coverage 0.5 budget 1s`, `reserve "x" in service desk id 01ARZ`,
		`show answers where a != "b" and c = 3 since 3d by x, y limit 2`, `dry run alter service x set a = -1.5, b = '[''1]' at version 18446744073709551615`,
		`create service "service" from '{}';`, `undrain target t of service "of"`, `"`, `'`, "\xff", `show claim 0123`, `--`, `;;`,
		`show hosts limit 00000000000000000000001`, `show hosts since 1.5h30m`,
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		s, err := Parse(text)
		if err != nil {
			var e *Error
			if !errors.As(err, &e) || e.Line < 1 || e.Column < 1 || e.Expected == "" {
				t.Fatalf("%q: want an *Error with a position and an expectation, got %v", text, err)
			}
			return
		}
		again, err := Parse(s.String())
		if err != nil || again.String() != s.String() {
			t.Fatalf("%q: canonical form %q parses to %v, error %v", text, s, again, err)
		}
	})
}
