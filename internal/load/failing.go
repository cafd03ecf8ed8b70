package load

import (
	"context"

	"rhubarbwood.example/rhubarbwood/internal/standin/target"
)

const failingExtra = 0.10 // retries over first tries

func fails(p float64, pick func(*target.Target) bool) func(*site) {
	return func(s *site) { s.fault(target.Faults{Fail: p}, pick) }
}

func everyTarget(*target.Target) bool { return true }

// failing makes one of three targets of each service fail, then all of them,
// as the measured part begins. The comparison retries at once and without a
// budget.
func failing(ctx context.Context, o Options) (Findings, error) {
	on, off := policyOn(), policyOff()
	off.retries = 2
	trials := []trial{
		{name: "on, none", site: on, load: calmLoad},
		{name: "on, one 50 %", site: on, load: calmLoad, during: fails(0.5, isThird)},
		{name: "on, one 100 %", site: on, load: calmLoad, during: fails(1, isThird)},
		{name: "on, all 50 %", site: on, load: calmLoad, during: fails(0.5, everyTarget)},
		{name: "on, all 100 %", site: on, load: calmLoad, during: fails(1, everyTarget)},
		{name: "off, none", site: off, load: calmLoad},
		{name: "off, one 50 %", site: off, load: calmLoad, during: fails(0.5, isThird)},
		{name: "off, one 100 %", site: off, load: calmLoad, during: fails(1, isThird)},
		{name: "off, all 50 %", site: off, load: calmLoad, during: fails(0.5, everyTarget)},
		{name: "off, all 100 %", site: off, load: calmLoad, during: fails(1, everyTarget)},
	}
	reports, err := measureAll(ctx, o, trials)
	if err != nil {
		return Findings{Reports: reports}, err
	}
	var verdicts []Verdict
	for _, r := range reports[1:5] {
		verdicts = append(verdicts, atMost("extra load, "+r.Name, r.Extra, failingExtra))
	}
	for _, r := range reports[1:3] {
		verdicts = append(verdicts, atLeast("complete over offered, "+r.Name, ratio(float64(r.Complete), float64(r.Offered)), 0.99))
	}
	return Findings{Reports: reports, Verdicts: verdicts}, nil
}
