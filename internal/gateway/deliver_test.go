package gateway_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/query"
	"rhubarbwood.example/rhubarbwood/internal/standin/platformtarget"
	"rhubarbwood.example/rhubarbwood/platform"
)

// Each kind of answer is recorded with its route, its outcome, the reason why it is not complete,
// and its coverage.
func TestEveryAnswerIsRecorded(t *testing.T) {
	hang := platformtarget.Faults{Silent: true}
	cases := map[string]struct {
		path     string
		faults   map[string]platformtarget.Faults
		route    string
		outcome  outcome.Outcome
		reason   query.Reason
		coverage float64
		needed   int
	}{
		"whole":                    {path: "/one/x", route: "one", outcome: outcome.Done, coverage: 1, needed: 1},
		"merged":                   {path: "/all/x", route: "all", outcome: outcome.Done, coverage: 1, needed: 4},
		"merged, a part missing":   {path: "/all/x", faults: map[string]platformtarget.Faults{"s1": hang}, route: "all", outcome: outcome.Done, coverage: 0.75, needed: 4},
		"merged, too few parts":    {path: "/all/x", faults: map[string]platformtarget.Faults{"s1": hang, "s2": hang, "s3": hang}, route: "all", outcome: outcome.Unknown, reason: query.ReasonBudget, needed: 4},
		"the target's own failure": {path: "/once/x", faults: map[string]platformtarget.Faults{"s0": {Fail: 1}}, route: "once", outcome: outcome.Failed, reason: query.ReasonTargetFailed, needed: 1},
		"no answer in time":        {path: "/once/x", faults: map[string]platformtarget.Faults{"s0": hang}, route: "once", outcome: outcome.Unknown, reason: query.ReasonBudget, needed: 1},
		"no route":                 {path: "/none/x", route: "(no route)", outcome: outcome.NotSent, reason: query.ReasonUnknownService},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			run(t, options{services: 4}, func(t *testing.T, s *site) {
				is := is.New(t)
				for service, f := range c.faults {
					s.faults(service, f)
				}
				s.get(c.path, "r-1")
				time.Sleep(time.Second)
				d := s.recorded.last()
				is.Equal(d.RequestID, "r-1")
				is.Equal(d.Service, c.route)
				is.Equal(d.Outcome, c.outcome)
				is.Equal(d.Reason, c.reason)
				is.Equal(d.Coverage, c.coverage)
				is.Equal(d.Needed, c.needed)
				is.True(d.Caller != "")
			})
		})
	}
}

func TestCallerThatLeftIsRecorded(t *testing.T) {
	run(t, options{}, func(t *testing.T, s *site) {
		is := is.New(t)
		s.faults("s0", platformtarget.Faults{Silent: true})
		ctx, leave := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer leave()
		s.sendWith(ctx, http.MethodGet, "/once/x", "", http.Header{platform.HeaderRequestID: {"r-1"}})
		time.Sleep(time.Second)
		is.Equal(s.recorded.last().Reason, query.ReasonCallerLeft)
		is.Equal(s.recorded.last().Outcome, outcome.Unknown)
	})
}
