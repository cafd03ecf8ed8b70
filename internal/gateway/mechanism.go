package gateway

import (
	"slices"
	"strings"
)

// Mechanism is a part of the gateway's decisions that can be switched off, in an
// incident or to measure what it is worth.
type Mechanism string

// Mechanisms.
const (
	// CallerDistance keeps the time for an answer's way back that was observed;
	// without it a fixed prior is kept.
	CallerDistance Mechanism = "caller_distance"
	// BoundedWork gives targets no longer than until the answer leaves.
	BoundedWork Mechanism = "bounded_work"
	// ShedPenalty asks targets that shed last.
	ShedPenalty Mechanism = "shed_cost"
	// Hedges are second attempts beside a late one.
	Hedges Mechanism = "hedges"
	// Retries are further attempts after one that failed.
	Retries Mechanism = "repeats"
	// Ejection keeps work from targets that fail or are slow.
	Ejection Mechanism = "set_aside"
	// Findings are what hosts tell each other of targets.
	Findings Mechanism = "findings"
	// PreferLocal are asked first: the targets of the own failure domain.
	PreferLocal Mechanism = "homes"
	// LateRetryYield lets late repeats leave places to others.
	LateRetryYield Mechanism = "late_yield"
	// HelperHosts gather queries for hosts with a narrow link.
	HelperHosts Mechanism = "helpers"
	// GathererWeights give the hosts that gather most of the connections and further attempts.
	GathererWeights Mechanism = "weights"
	// LoadReports are what targets tell of their load; without it their latencies tell.
	LoadReports Mechanism = "reports"
	// LoadQueries asks two targets for their load before a single request is sent.
	LoadQueries Mechanism = "asking"
	// Quarantine keeps requests from targets that end under them.
	Quarantine Mechanism = "quarantine"
	// Locality lets hosts gather a query that stand where its targets do.
	Locality Mechanism = "locality"
)

var mechanisms = []Mechanism{
	CallerDistance, BoundedWork, ShedPenalty, Hedges, Retries, Ejection, Findings, PreferLocal, LateRetryYield, HelperHosts, GathererWeights, Locality, Quarantine, LoadReports, LoadQueries,
}

// checkMechanisms reports a name that is no mechanism's.
func checkMechanisms(all []Mechanism) error {
	for _, m := range all {
		if !slices.Contains(mechanisms, m) {
			return Error.New("without: %q is none of %s", m, joinMechanisms(mechanisms))
		}
	}
	return nil
}

func joinMechanisms(all []Mechanism) string {
	list := make([]string, len(all))
	for i, m := range all {
		list[i] = string(m)
	}
	return strings.Join(list, ", ")
}
