package load

import (
	"context"
	"strings"

	"rhubarbwood.example/rhubarbwood/internal/standin/target"
)

const (
	maxStragglerP99Ratio  = 1.5  // over the run without a straggler
	maxStragglerExtraLoad = 0.05 // hedges over first attempts
)

// isThirdTarget selects one of the three targets of each service.
func isThirdTarget(t *target.Target) bool { return strings.HasSuffix(t.ID(), "-t3") }

// isThirdTargetOfFirstService selects one target of one service.
func isThirdTargetOfFirstService(t *target.Target) bool { return strings.HasSuffix(t.ID(), "-01-t3") }

func slowTargets(factor float64, pick func(*target.Target) bool) func(*site) {
	return func(s *site) { s.setFaults(target.Faults{LatencyFactor: factor}, pick) }
}

func freezeTargets(pick func(*target.Target) bool) func(*site) {
	return func(s *site) { s.setFaults(target.Faults{Freeze: target.FreezeBefore, FreezeStatus: true}, pick) }
}

// straggler makes one of three targets slow or frozen, in one service or in
// every service, from the start of the measured span.
func straggler(ctx context.Context, o Options) (Findings, error) {
	on, off := siteWithPolicies(), siteWithoutPolicies()
	noHedge := siteWithPolicies()
	noHedge.rules.HedgeBudget = -1
	trials := []trial{
		{name: "on, none", brief: true, site: on, loadFactor: lightLoad},
		{name: "on, one 10x", brief: true, site: on, loadFactor: lightLoad, afterWarmUp: slowTargets(10, isThirdTargetOfFirstService)},
		{name: "on, one 100x", brief: true, site: on, loadFactor: lightLoad, afterWarmUp: slowTargets(100, isThirdTargetOfFirstService)},
		{name: "on, one frozen", brief: true, site: on, loadFactor: lightLoad, afterWarmUp: freezeTargets(isThirdTargetOfFirstService)},
		{name: "on, each 10x", site: on, loadFactor: lightLoad, afterWarmUp: slowTargets(10, isThirdTarget)},
		{name: "on, each frozen", site: on, loadFactor: lightLoad, afterWarmUp: freezeTargets(isThirdTarget)},
		{name: "on, saturated, one 10x", brief: true, site: on, loadFactor: 2, afterWarmUp: slowTargets(10, isThirdTargetOfFirstService)},
		{name: "no hedges, none", site: noHedge, loadFactor: lightLoad},
		{name: "no hedges, one 10x", site: noHedge, loadFactor: lightLoad, afterWarmUp: slowTargets(10, isThirdTargetOfFirstService)},
		{name: "no hedges, one frozen", site: noHedge, loadFactor: lightLoad, afterWarmUp: freezeTargets(isThirdTargetOfFirstService)},
		{name: "off, none", site: off, loadFactor: lightLoad},
		{name: "off, one 10x", site: off, loadFactor: lightLoad, afterWarmUp: slowTargets(10, isThirdTargetOfFirstService)},
		{name: "off, one frozen", site: off, loadFactor: lightLoad, afterWarmUp: freezeTargets(isThirdTargetOfFirstService)},
	}
	reports, err := measureAll(ctx, o, trials)
	if err != nil {
		return Findings{Reports: reports}, err
	}
	return Findings{Reports: reports, Verdicts: stragglerVerdicts(reports)}, nil
}

func stragglerVerdicts(reports []Report) []Verdict {
	var verdicts []Verdict
	calm, _ := reportNamed(reports, "on, none")
	for _, name := range []string{"on, one 10x", "on, one 100x", "on, one frozen"} {
		r, _ := reportNamed(reports, name)
		verdicts = append(verdicts,
			atMost("p99 over the run without a straggler, "+name, ratio(r.P99, calm.P99), maxStragglerP99Ratio),
			atMost("extra load, "+name, r.ExtraLoad, maxStragglerExtraLoad))
	}
	saturated, _ := reportNamed(reports, "on, saturated, one 10x")
	return append(verdicts, atMost("extra load, saturated", saturated.ExtraLoad, maxSaturatedExtraLoad))
}
