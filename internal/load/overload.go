package load

import (
	"context"
	"fmt"
	"time"
)

const (
	keptGoodput    = 0.9   // of its peak, under overload
	saturatedExtra = 0.005 // hedges and retries over first tries
	budgetUsed     = 0.3   // of the budget, by the p99 of answers
)

var offeredLoads = []float64{0.5, 0.9, 1.2, 2, 5}

// overload offers several times the slots' capacity, with the decisions off
// and on.
func overload(ctx context.Context, o Options) (Findings, error) {
	var trials []trial
	for _, load := range offeredLoads {
		trials = append(trials,
			trial{name: fmt.Sprintf("off %gx", load), site: policyOff(), load: load, brief: load == 2},
			trial{name: fmt.Sprintf("on %gx", load), site: policyOn(), load: load, brief: load >= 0.9})
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
		r, _ := named(reports, fmt.Sprintf("on %gx", load))
		peak = max(peak, r.Goodput)
	}
	var verdicts []Verdict
	for _, load := range []float64{2, 5} {
		name := fmt.Sprintf("on %gx", load)
		r, _ := named(reports, name)
		verdicts = append(verdicts,
			atLeast("goodput over its peak, "+name, ratio(r.Goodput, peak), keptGoodput),
			atMost("p99 over the budget, "+name, r.P99*float64(time.Millisecond)/float64(wideBudget), budgetUsed),
			atMost("extra load, "+name, r.Extra, saturatedExtra))
	}
	return verdicts
}
