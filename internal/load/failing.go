package load

import (
	"context"
	"strings"

	"rhubarbwood.example/rhubarbwood/internal/standin/target"
)

const (
	failingExtra = 0.10 // hedges and retries over first tries
	failingWhole = 0.99 // of the queries, while two of three targets are well
)

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
		{name: "on, one 100 %", brief: true, site: on, load: calmLoad, during: fails(1, isThird)},
		{name: "on, all 50 %", site: on, load: calmLoad, during: fails(0.5, everyTarget)},
		{name: "on, all 100 %", brief: true, site: on, load: calmLoad, during: fails(1, everyTarget)},
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
	return Findings{Reports: reports, Verdicts: failingVerdicts(reports)}, nil
}

func failingVerdicts(reports []Report) []Verdict {
	var verdicts []Verdict
	for _, name := range []string{"on, one 50 %", "on, one 100 %", "on, all 50 %", "on, all 100 %"} {
		r, ran := named(reports, name)
		if !ran {
			continue
		}
		verdicts = append(verdicts, atMost("extra load, "+name, r.Extra, failingExtra))
		if strings.HasPrefix(name, "on, one") {
			whole := ratio(float64(r.Complete), float64(r.Offered))
			verdicts = append(verdicts, atLeast("complete over offered, "+name, whole, failingWhole))
		}
	}
	return verdicts
}
