package load

import (
	"context"
	"fmt"
)

// keptGoodput is the part of the peak that goodput keeps under overload.
const keptGoodput = 0.9

var offeredLoads = []float64{0.5, 0.9, 1.2, 2, 5}

// overload offers several times the slots' capacity, with the decisions off
// and on.
func overload(ctx context.Context, o Options) (Findings, error) {
	var trials []trial
	for _, load := range offeredLoads {
		trials = append(trials,
			trial{name: fmt.Sprintf("off %gx", load), site: policyOff(), load: load},
			trial{name: fmt.Sprintf("on %gx", load), site: policyOn(), load: load})
	}
	reports, err := measureAll(ctx, o, trials)
	if err != nil {
		return Findings{Reports: reports}, err
	}
	peak := 0.0
	for i := 1; i < len(reports); i += 2 {
		peak = max(peak, reports[i].Goodput)
	}
	return Findings{Reports: reports, Verdicts: []Verdict{
		atLeast("goodput at 2 times over its peak", ratio(reports[7].Goodput, peak), keptGoodput),
		atLeast("goodput at 5 times over its peak", ratio(reports[9].Goodput, peak), keptGoodput),
		atMost("extra load at 5 times", reports[9].Extra, 0.005),
	}}, nil
}
