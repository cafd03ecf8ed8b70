package delivery

import (
	"context"
	"strconv"
	"strings"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/delivery/deliverypb"
	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

// BurnWindows are the spans over which burn is reported, shortest first.
var BurnWindows = []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 3 * 24 * time.Hour}

// WindowLabel writes a burn window without its zero parts: 5m, 1h, 6h, 3d.
func WindowLabel(d time.Duration) string {
	const day = 24 * time.Hour
	if d >= day && d%day == 0 {
		return strconv.Itoa(int(d/day)) + "d"
	}
	return strings.TrimSuffix(strings.TrimSuffix(d.String(), "0s"), "0m")
}

// Burn is how fast an objective's budget of bad requests was used over a time.
// At 1 the budget lasts exactly as long as the objective's period.
type Burn struct {
	Window time.Duration
	Total  uint64 // requests that count
	Bad    uint64
	Rate   float64 // bad ratio over allowed ratio; 0 when nothing counts
}

// ObjectiveBurn is an objective with its burn over each of BurnWindows.
type ObjectiveBurn struct {
	Objective Objective
	Burns     []Burn
}

// BurnReport is the burn of all objectives, and what is missing in it.
type BurnReport struct {
	Objectives   []ObjectiveBurn // sorted by service and aim
	Completeness Completeness
}

// Burn returns the burn of the objectives, which are sorted by service and aim.
func (r *Reporter) Burn(ctx context.Context, objectives []Objective) (BurnReport, error) {
	g, err := r.gather(ctx, BurnWindows[len(BurnWindows)-1], false)
	if err != nil {
		return BurnReport{}, err
	}
	report := BurnReport{Completeness: g.completeness}
	for _, o := range objectives {
		report.Objectives = append(report.Objectives, newObjectiveBurn(o))
	}
	g.burn(report.Objectives)
	return report, nil
}

func newObjectiveBurn(o Objective) ObjectiveBurn {
	b := ObjectiveBurn{Objective: o}
	for _, span := range BurnWindows {
		b.Burns = append(b.Burns, Burn{Window: span})
	}
	return b
}

// burn fills the burns of all objectives in one pass over the gathered rows.
func (g *gathered) burn(all []ObjectiveBurn) {
	byService := map[string][]*ObjectiveBurn{}
	for i := range all {
		byService[all[i].Objective.Service] = append(byService[all[i].Objective.Service], &all[i])
	}
	for _, p := range g.rows {
		eachRow(p.rows, func(k Key, row *deliverypb.Row) {
			for _, o := range byService[k.Service] {
				o.add(g.now.Sub(p.end), k, row)
			}
		})
	}
	for _, o := range all {
		for i := range o.Burns {
			o.Burns[i].Rate = o.Objective.rate(o.Burns[i].Total, o.Burns[i].Bad)
		}
	}
}

// add counts a row of this age in each window that reaches back so far.
func (b *ObjectiveBurn) add(age time.Duration, k Key, row *deliverypb.Row) {
	if !b.Objective.counts(k) {
		return
	}
	bad := row.GetCount() - b.Objective.good(k, row)
	for i := range b.Burns {
		if age < b.Burns[i].Window {
			b.Burns[i].Total += row.GetCount()
			b.Burns[i].Bad += bad
		}
	}
}

// counts reports whether a key falls under the objective. Requests that were
// refused for the caller's own mistake count for none.
func (o Objective) counts(k Key) bool {
	if k.Service != o.Service || (o.Aim == AimCoverage && k.Band == BandReservation) {
		return false
	}
	switch k.Reason {
	case query.ReasonBadRequest, query.ReasonUnknownService, query.ReasonTooLarge, query.ReasonExpired:
		return false
	}
	return true
}

// good returns how many of the key's deliveries met the objective.
func (o Objective) good(k Key, row *deliverypb.Row) uint64 {
	switch {
	case k.Outcome != outcome.Done || k.Reason != "":
		return 0
	case o.Aim == AimLatency:
		return min(within(row, o.Threshold), row.GetCount())
	case k.Band == BandFull:
		return row.GetCount()
	}
	return 0
}

// rate returns the burn rate. An objective of 1 allows nothing bad; its budget
// counts as one in a million.
func (o Objective) rate(total, bad uint64) float64 {
	if total == 0 {
		return 0
	}
	const leastBudget = 1e-6
	return float64(bad) / float64(total) / max(1-o.Ratio, leastBudget)
}
