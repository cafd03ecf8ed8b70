package catalog

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestValidationReportsEveryProblem(t *testing.T) {
	is := is.New(t)
	is.NoErr(ValidateService(testService("a")))
	s := testService("a")
	s.Name, s.Urgency = "No Name", "soon"
	s.Targets[0].Address, s.Targets[1].Slots, s.Targets[2].ID = "nowhere", 0, s.Targets[1].ID
	s.Rules.HedgeQuantile, s.Rules.LatencyRatio, s.Rules.QueueWait = 1, 2, -1
	got := errorMessages(ValidateService(s))
	is.Equal(len(got), 8)

	a := testService("a")
	good := testSnapshot(1, 3, a)
	is.NoErr(ValidateSnapshot(good, []Service{a}))
	bad := testSnapshot(0, 3, a, testService("b"))
	bad.Services["a"].Shards[0] = nil
	bad.Services["a"].Shards[1][0] = "stranger"
	got = errorMessages(ValidateSnapshot(bad, []Service{a, testService("c")}))
	want := []string{"id: want more than 0", "no target holds it", "not a target", "there is no such service", "is missing, though"}
	is.Equal(len(got), len(want))
	for _, w := range want {
		is.True(strings.Contains(strings.Join(got, "\n"), w))
	}
}

func TestDefaultsFillZeroRules(t *testing.T) {
	is := is.New(t)
	is.Equal(Rules{}.withDefaults(), DefaultRules())
	is.Equal(Rules{HedgeBudget: -1}.withDefaults().HedgeBudget, -1.0)
	is.NoErr(DefaultConfig().Validate())
	is.Equal(len(strings.Split(Config{}.Validate().Error(), "\n")), 7)
}

// TestDiffNamesExactlyWhatChanged changes one field of a service at a time.
func TestDiffNamesExactlyWhatChanged(t *testing.T) {
	is := is.New(t)
	base := testService("a")
	changes := map[string]func(*Service){
		"workload":            func(s *Service) { s.Workload = "other" },
		"rules.relays":        func(s *Service) { s.Rules.Relays = 3 },
		"targets[a-t1].slots": func(s *Service) { s.Targets[1].Slots = 9 },
		"targets[a-t2]":       func(s *Service) { s.Targets = s.Targets[:2] },
		"":                    func(s *Service) { s.Change.ID = "other" }, // the change itself is excluded from the comparison
	}
	for path, change := range changes {
		s := testService("a")
		change(&s)
		var paths []string
		for _, d := range diffJSON(encode(base), encode(s)) {
			paths = append(paths, d.Path)
		}
		is.Equal(strings.Join(paths, " "), path)
	}
	is.Equal(len(diffJSON([]byte("{"), encode(base))), 1)
}
