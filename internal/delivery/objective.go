package delivery

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/catalog"
	"rhubarbwood.example/rhubarbwood/internal/routing"
)

// Aim is the quantity that an objective is about.
type Aim string

// Aims.
const (
	AimLatency  Aim = "latency"  // answered within the threshold
	AimCoverage Aim = "coverage" // answered from every shard
)

// Objective is a service-level objective: of the requests to which it applies,
// at least the fraction Ratio is good.
type Objective struct {
	Service   string // or a workload, for requests to the whole workload, or the route of forwarded requests
	Aim       Aim
	Threshold time.Duration // only for AimLatency
	Ratio     float64       // 0..1
}

// Objectives returns the objectives from the rules of the services, and those
// of their workloads. A request to a whole workload may be as slow as its
// slowest service and as incomplete as its least complete service, so its
// objective has the loosest values of its services.
func Objectives(services []catalog.Service) []Objective {
	byKey := map[[2]string]Objective{}
	for _, s := range services {
		for _, name := range []string{s.Name, s.Workload} {
			for _, o := range objectivesOf(s) {
				o.Service = name
				key := [2]string{name, string(o.Aim)}
				if known, ok := byKey[key]; ok {
					o.Threshold, o.Ratio = max(o.Threshold, known.Threshold), min(o.Ratio, known.Ratio)
				}
				byKey[key] = o
			}
		}
	}
	return sortedObjectives(slices.Collect(maps.Values(byKey)))
}

func objectivesOf(s catalog.Service) []Objective {
	return []Objective{
		{Aim: AimLatency, Threshold: s.Rules.LatencyObjective.Std(), Ratio: s.Rules.LatencyRatio},
		{Aim: AimCoverage, Ratio: s.Rules.CoverageRatio},
	}
}

// RouteObjectives returns the objectives of routes. A route only configures the
// latency threshold; the ratios are the defaults of a service.
func RouteObjectives(routes []routing.Route) []Objective {
	ratios := catalog.DefaultRules()
	var all []Objective
	for _, r := range routes {
		if r.Objective > 0 {
			all = append(all, Objective{Service: r.Name, Aim: AimLatency, Threshold: r.Objective, Ratio: ratios.LatencyRatio})
		}
		if len(r.Shards) > 0 {
			all = append(all, Objective{Service: r.Name, Aim: AimCoverage, Ratio: ratios.CoverageRatio})
		}
	}
	return sortedObjectives(all)
}

func sortedObjectives(all []Objective) []Objective {
	slices.SortFunc(all, func(a, b Objective) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Aim, b.Aim))
	})
	return all
}
