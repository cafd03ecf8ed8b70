package load

import (
	"context"
	"strings"

	"rhubarbwood.example/rhubarbwood/internal/standin/target"
)

const (
	maxFailingExtraLoad = 0.10 // hedges and retries over first attempts
	minFailingComplete  = 0.99 // of the offered queries, with two of three targets healthy
)

func failTargets(p float64, pick func(*target.Target) bool) func(*site) {
	return func(s *site) { s.setFaults(target.Faults{Fail: p}, pick) }
}

func anyTarget(*target.Target) bool { return true }

// failing makes one of the three targets of each service fail, and in other
// runs all of them, from the start of the measured span. The baseline without
// policies retries immediately and without a retry budget.
func failing(ctx context.Context, o Options) (Findings, error) {
	on, off := siteWithPolicies(), siteWithoutPolicies()
	off.retries = 2
	trials := []trial{
		{name: "on, none", site: on, loadFactor: lightLoad},
		{name: "on, one 50 %", site: on, loadFactor: lightLoad, afterWarmUp: failTargets(0.5, isThirdTarget)},
		{name: "on, one 100 %", brief: true, site: on, loadFactor: lightLoad, afterWarmUp: failTargets(1, isThirdTarget)},
		{name: "on, all 50 %", site: on, loadFactor: lightLoad, afterWarmUp: failTargets(0.5, anyTarget)},
		{name: "on, all 100 %", brief: true, site: on, loadFactor: lightLoad, afterWarmUp: failTargets(1, anyTarget)},
		{name: "off, none", site: off, loadFactor: lightLoad},
		{name: "off, one 50 %", site: off, loadFactor: lightLoad, afterWarmUp: failTargets(0.5, isThirdTarget)},
		{name: "off, one 100 %", site: off, loadFactor: lightLoad, afterWarmUp: failTargets(1, isThirdTarget)},
		{name: "off, all 50 %", site: off, loadFactor: lightLoad, afterWarmUp: failTargets(0.5, anyTarget)},
		{name: "off, all 100 %", site: off, loadFactor: lightLoad, afterWarmUp: failTargets(1, anyTarget)},
	}
	reports, err := measureAll(ctx, o, trials)
	if err != nil {
		return Findings{Reports: reports}, err
	}
	return Findings{Reports: reports, Verdicts: failingVerdicts(reports)}, nil
}

func failingVerdicts(reports []Report) []Verdict {
	var verdicts []Verdict
	for _, name := range []string{"on, one 50 %", "on, one 100 %", "on, all 50 %", "on, all 100 %"} {
		r, ran := reportNamed(reports, name)
		if !ran {
			continue
		}
		verdicts = append(verdicts, atMost("extra load, "+name, r.ExtraLoad, maxFailingExtraLoad))
		if strings.HasPrefix(name, "on, one") {
			whole := ratio(float64(r.Complete), float64(r.Offered))
			verdicts = append(verdicts, atLeast("complete over offered, "+name, whole, minFailingComplete))
		}
	}
	return verdicts
}
