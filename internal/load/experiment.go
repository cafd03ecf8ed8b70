package load

import (
	"context"
	"fmt"
	"io"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/catalog"
)

const (
	hostsPerSite   = 9
	warmUpDuration = 2 * time.Second
	searchBudget   = time.Second
	lightLoad      = 0.3  // as a fraction of the slots' capacity
	maxOutstanding = 5000 // requests in flight, above which arrivals are counted as unsent
)

// Options of an experiment.
type Options struct {
	Span  time.Duration // measured time of each run
	Seed  uint64
	Brief bool // only the runs that the verdicts need

	measure measureFunc // nil: measure in real time over loopback
}

// measureFunc runs one trial and returns its report.
type measureFunc func(ctx context.Context, o Options, t trial) (Report, error)

// Experiment compares runs of the real relay code over stand-ins for targets in
// one process. Its verdicts compare runs of the same experiment, because
// absolute figures depend on other load on the machine.
type Experiment struct {
	Name     string
	Question string
	Run      func(ctx context.Context, o Options) (Findings, error)
}

// Findings are the reports and the verdicts of an experiment.
type Findings struct {
	Reports  []Report  `json:"reports"`
	Verdicts []Verdict `json:"verdicts"`
}

// Verdict compares a measured value with its goal.
type Verdict struct {
	What  string  `json:"what"`
	Value float64 `json:"value"`
	Goal  float64 `json:"goal"`
	Met   bool    `json:"met"`
}

func atLeast(what string, value, goal float64) Verdict {
	return Verdict{what, value, goal, value >= goal}
}

func atMost(what string, value, goal float64) Verdict {
	return Verdict{what, value, goal, value <= goal}
}

// String formats the verdict in one line.
func (v Verdict) String() string {
	word := "met"
	if !v.Met {
		word = "MISSED"
	}
	return fmt.Sprintf("%-6s %s: %.3f, goal %.3f", word, v.What, v.Value, v.Goal)
}

// Experiments returns all experiments, in the order of the design documents.
func Experiments() []Experiment {
	return []Experiment{
		{"overload", "goodput at up to 5 times the capacity of the slots", overload},
		{"straggler", "one of three targets slow or frozen", straggler},
		{"failing", "one of three targets failing, and all targets failing", failing},
		{"relays", "direct calls from every host, and 1, 2, 3, 4 or all hosts relaying to a target", relays},
		{"relayloss", "a relay killed, frozen or slow; all hosts replaced", relayLoss},
		{"domainloss", "all hosts and targets of a failure domain lost", domainLoss},
	}
}

// Write writes the reports as a table, followed by the verdicts.
func (e Experiment) Write(w io.Writer, f Findings) error {
	fmt.Fprintf(w, "\n%s: %s\n", e.Name, e.Question)
	if err := WriteTable(w, f.Reports); err != nil {
		return err
	}
	for _, v := range f.Verdicts {
		fmt.Fprintln(w, v)
	}
	return nil
}

// trial is one run on a new site.
type trial struct {
	name         string
	site         siteConfig
	loadFactor   float64       // offered, as a fraction of the slots' capacity
	brief        bool          // whether brief experiments run it
	beforeWarmUp func(s *site) // called before the warm-up; may be nil
	afterWarmUp  func(s *site) // called at the end of the warm-up; may be nil
}

// measure runs a trial: a warm-up that is not recorded, then the measured span.
func measure(ctx context.Context, o Options, t trial) (Report, error) {
	s, err := newSite(ctx, t.site)
	if err != nil {
		return Report{}, err
	}
	defer s.close()
	if t.beforeWarmUp != nil {
		t.beforeWarmUp(s)
	}
	rate := t.loadFactor * t.site.kind.capacity()
	if _, err := sendArrivals(ctx, arrivals(rate, warmUpDuration, o.Seed+1), maxOutstanding, s.searchFunc(o.Seed+1, searchBudget)); err != nil {
		return Report{}, err
	}
	if t.afterWarmUp != nil {
		t.afterWarmUp(s)
	}
	before := s.tally()
	starts := arrivals(rate, o.Span, o.Seed)
	rec, err := sendArrivals(ctx, starts, maxOutstanding, s.searchFunc(o.Seed, searchBudget))
	report := rec.report(t.name, rate, len(starts), o.Span)
	s.tally().minus(before).fillReport(&report)
	return report, err
}

// measureAll runs the trials one after another.
func measureAll(ctx context.Context, o Options, trials []trial) ([]Report, error) {
	if o.measure == nil {
		o.measure = measure
	}
	var reports []Report
	for _, t := range trials {
		if o.Brief && !t.brief {
			continue
		}
		r, err := o.measure(ctx, o, t)
		if err != nil {
			return reports, fmt.Errorf("%s: %w", t.name, err)
		}
		reports = append(reports, r)
	}
	return reports, nil
}

// reportNamed returns the report of a run, and false if the run was left out.
func reportNamed(reports []Report, name string) (Report, bool) {
	for _, r := range reports {
		if r.Name == name {
			return r, true
		}
	}
	return Report{}, false
}

// siteWithPolicies returns the site whose relays apply the default rules of
// services.
func siteWithPolicies() siteConfig {
	return siteConfig{kind: guestPortalSite, hosts: hostsPerSite, rules: catalog.DefaultRules()}
}

// siteWithoutPolicies returns the site whose hosts call the targets directly,
// without the policies of a relay. Each host has its share of the connections
// that a target accepts.
func siteWithoutPolicies() siteConfig {
	c := siteWithPolicies()
	c.direct, c.connections = true, 2
	return c
}
