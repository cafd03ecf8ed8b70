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

// BurnWindows are the durations over which burn rates are reported, shortest
// first.
var BurnWindows = []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 3 * 24 * time.Hour}

// WindowLabel formats a burn window without zero parts: 5m, 1h, 6h, 3d.
func WindowLabel(d time.Duration) string {
	const day = 24 * time.Hour
	if d >= day && d%day == 0 {
		return strconv.Itoa(int(d/day)) + "d"
	}
	return strings.TrimSuffix(strings.TrimSuffix(d.String(), "0s"), "0m")
}

// Burn is the rate at which an objective's error budget was used over a window.
// At rate 1 the budget lasts exactly for the objective's period.
type Burn struct {
	Window time.Duration
	Total  uint64 // requests to which the objective applies
	Bad    uint64
	Rate   float64 // ratio of bad requests over the allowed ratio; 0 if Total is 0
}

// ObjectiveBurn is an objective with its burn over each of BurnWindows.
type ObjectiveBurn struct {
	Objective Objective
	Burns     []Burn
}

// BurnReport is the burn of all objectives, and the completeness of its data.
type BurnReport struct {
	Objectives   []ObjectiveBurn // sorted by service and aim
	Completeness Completeness
}

// Burn returns the burn of the objectives, which must be sorted by service and
// aim.
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

// burn computes the burn of all objectives in one pass over the rows.
func (g *reportData) burn(all []ObjectiveBurn) {
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
			o.Burns[i].Rate = o.Objective.burnRate(o.Burns[i].Total, o.Burns[i].Bad)
		}
	}
}

// add adds a row to each window that is longer than the row's age.
func (b *ObjectiveBurn) add(age time.Duration, k Key, row *deliverypb.Row) {
	if !b.Objective.appliesTo(k) {
		return
	}
	bad := row.GetCount() - b.Objective.goodCount(k, row)
	for i := range b.Burns {
		if age < b.Burns[i].Window {
			b.Burns[i].Total += row.GetCount()
			b.Burns[i].Bad += bad
		}
	}
}

// appliesTo reports whether the objective applies to the requests of a key.
// Requests that were refused because of the caller's own error count for no
// objective.
func (o Objective) appliesTo(k Key) bool {
	if k.Service != o.Service || (o.Aim == AimCoverage && k.Band == BandReservation) {
		return false
	}
	switch k.Reason {
	case query.ReasonBadRequest, query.ReasonUnknownService, query.ReasonTooLarge, query.ReasonExpired:
		return false
	}
	return true
}

// goodCount returns how many deliveries of the row met the objective.
func (o Objective) goodCount(k Key, row *deliverypb.Row) uint64 {
	switch {
	case k.Outcome != outcome.Done || k.Reason != "":
		return 0
	case o.Aim == AimLatency:
		return min(countWithin(row, o.Threshold), row.GetCount())
	case k.Band == BandFull:
		return row.GetCount()
	}
	return 0
}

// burnRate returns the burn rate. The error budget of an objective with ratio 1
// would be 0; it is taken as one in a million.
func (o Objective) burnRate(total, bad uint64) float64 {
	if total == 0 {
		return 0
	}
	const minErrorBudget = 1e-6
	return float64(bad) / float64(total) / max(1-o.Ratio, minErrorBudget)
}
