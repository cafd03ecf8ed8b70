package gateway

import (
	"slices"
	"strings"
)

// Mechanism names a part of the forwarding logic that can be disabled, during an incident or to
// measure its effect.
type Mechanism string

// Mechanisms. The values are used in settings.
const (
	// CallerDistance reserves the observed time for the answer's way back to the caller. Without it
	// a fixed prior is reserved.
	CallerDistance Mechanism = "caller_distance"
	// BoundedWork limits the time given to targets to the moment at which the answer is sent.
	BoundedWork Mechanism = "bounded_work"
	// ShedPenalty raises the cost of targets that shed requests, so that they are chosen last.
	ShedPenalty Mechanism = "shed_cost"
	// Hedges are second attempts sent while the first one is slow.
	Hedges Mechanism = "hedges"
	// Retries are further attempts after a failed one.
	Retries Mechanism = "repeats"
	// RejectedRetries sends a request again to a target that rejected it, when no other target may
	// be tried.
	RejectedRetries Mechanism = "rejected_repeats"
	// Ejection stops sending requests to targets that fail or are slow.
	Ejection Mechanism = "set_aside"
	// Findings are exchanged by hosts when they eject or readmit a target.
	Findings Mechanism = "findings"
	// PreferLocal prefers targets in the host's own failure domain.
	PreferLocal Mechanism = "homes"
	// LateRetryYield makes late retries wait for connections behind other requests.
	LateRetryYield Mechanism = "late_yield"
	// HelperHosts gather queries on behalf of hosts with a narrow link.
	HelperHosts Mechanism = "helpers"
	// GathererWeights give the hosts that gather queries most of the connections and extra
	// attempts.
	GathererWeights Mechanism = "weights"
	// LoadReports are the load figures in targets' responses. Without them only latencies are used.
	LoadReports Mechanism = "reports"
	// LoadQueries query two targets for their load before a single request is sent.
	LoadQueries Mechanism = "asking"
	// Quarantine stops sending requests that make their targets end.
	Quarantine Mechanism = "quarantine"
	// Locality assigns the gathering of shards to hosts in the failure domains of the shards'
	// targets.
	Locality Mechanism = "locality"
)

var mechanisms = []Mechanism{
	CallerDistance, BoundedWork, ShedPenalty, Hedges, Retries, RejectedRetries, Ejection, Findings, PreferLocal, LateRetryYield, HelperHosts, GathererWeights, Locality, Quarantine, LoadReports, LoadQueries,
}

// checkMechanisms returns an error if a name is not that of a mechanism.
func checkMechanisms(all []Mechanism) error {
	for _, m := range all {
		if !slices.Contains(mechanisms, m) {
			return Error.New("without: unknown mechanism %q, want some of %s", m, joinMechanisms(mechanisms))
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
