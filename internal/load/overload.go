package load

import (
	"context"
	"fmt"
	"time"
)

const (
	minGoodputOverPeak    = 0.9   // under overload
	maxSaturatedExtraLoad = 0.005 // hedges and retries over first attempts
	maxP99OverBudget      = 0.3   // of answers
)

// offeredLoads are fractions of the slots' capacity.
var offeredLoads = []float64{0.5, 0.9, 1.2, 2, 5}

// overload offers up to 5 times the capacity of the slots, without and with the
// policies of the relays.
func overload(ctx context.Context, o Options) (Findings, error) {
	var trials []trial
	for _, load := range offeredLoads {
		trials = append(trials,
			trial{name: fmt.Sprintf("off %gx", load), site: siteWithoutPolicies(), loadFactor: load, brief: load == 2},
			trial{name: fmt.Sprintf("on %gx", load), site: siteWithPolicies(), loadFactor: load, brief: load >= 0.9})
	}
	reports, err := measureAll(ctx, o, trials)
	if err != nil {
		return Findings{Reports: reports}, err
	}
	return Findings{Reports: reports, Verdicts: overloadVerdicts(reports)}, nil
}

func overloadVerdicts(reports []Report) []Verdict {
	peak := 0.0
	for _, load := range offeredLoads {
		r, _ := reportNamed(reports, fmt.Sprintf("on %gx", load))
		peak = max(peak, r.Goodput)
	}
	var verdicts []Verdict
	for _, load := range []float64{2, 5} {
		name := fmt.Sprintf("on %gx", load)
		r, _ := reportNamed(reports, name)
		verdicts = append(verdicts,
			atLeast("goodput over its peak, "+name, ratio(r.Goodput, peak), minGoodputOverPeak),
			atMost("p99 over the budget, "+name, r.P99*float64(time.Millisecond)/float64(searchBudget), maxP99OverBudget),
			atMost("extra load, "+name, r.ExtraLoad, maxSaturatedExtraLoad))
	}
	return verdicts
}
