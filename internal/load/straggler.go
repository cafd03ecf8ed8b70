package load

import (
	"context"
	"strings"

	"rhubarbwood.example/rhubarbwood/internal/standin/target"
)

const (
	stragglerP99   = 1.5  // times the run without
	stragglerExtra = 0.05 // hedges over first tries
)

// isThird picks one target of each service.
func isThird(t *target.Target) bool { return strings.HasSuffix(t.ID(), "-t3") }

// isOneThird picks one target of one service.
func isOneThird(t *target.Target) bool { return strings.HasSuffix(t.ID(), "-01-t3") }

func slow(factor float64, pick func(*target.Target) bool) func(*site) {
	return func(s *site) { s.fault(target.Faults{LatencyFactor: factor}, pick) }
}

func frozen(pick func(*target.Target) bool) func(*site) {
	return func(s *site) { s.fault(target.Faults{Freeze: target.FreezeBefore, FreezeStatus: true}, pick) }
}

// straggler makes one of three targets slow or frozen, in one service and in
// every service, as the measured part begins.
func straggler(ctx context.Context, o Options) (Findings, error) {
	on, off := policyOn(), policyOff()
	noHedge := policyOn()
	noHedge.rules.HedgeBudget = -1
	trials := []trial{
		{name: "on, none", brief: true, site: on, load: calmLoad},
		{name: "on, one 10x", brief: true, site: on, load: calmLoad, during: slow(10, isOneThird)},
		{name: "on, one 100x", brief: true, site: on, load: calmLoad, during: slow(100, isOneThird)},
		{name: "on, one frozen", brief: true, site: on, load: calmLoad, during: frozen(isOneThird)},
		{name: "on, each 10x", site: on, load: calmLoad, during: slow(10, isThird)},
		{name: "on, each frozen", site: on, load: calmLoad, during: frozen(isThird)},
		{name: "on, saturated, one 10x", brief: true, site: on, load: 2, during: slow(10, isOneThird)},
		{name: "no hedges, none", site: noHedge, load: calmLoad},
		{name: "no hedges, one 10x", site: noHedge, load: calmLoad, during: slow(10, isOneThird)},
		{name: "no hedges, one frozen", site: noHedge, load: calmLoad, during: frozen(isOneThird)},
		{name: "off, none", site: off, load: calmLoad},
		{name: "off, one 10x", site: off, load: calmLoad, during: slow(10, isOneThird)},
		{name: "off, one frozen", site: off, load: calmLoad, during: frozen(isOneThird)},
	}
	reports, err := measureAll(ctx, o, trials)
	if err != nil {
		return Findings{Reports: reports}, err
	}
	return Findings{Reports: reports, Verdicts: stragglerVerdicts(reports)}, nil
}

func stragglerVerdicts(reports []Report) []Verdict {
	var verdicts []Verdict
	calm, _ := named(reports, "on, none")
	for _, name := range []string{"on, one 10x", "on, one 100x", "on, one frozen"} {
		r, _ := named(reports, name)
		verdicts = append(verdicts,
			atMost("p99 over none, "+name, ratio(r.P99, calm.P99), stragglerP99),
			atMost("extra load, "+name, r.Extra, stragglerExtra))
	}
	saturated, _ := named(reports, "on, saturated, one 10x")
	return append(verdicts, atMost("extra load, saturated", saturated.Extra, saturatedExtra))
}
