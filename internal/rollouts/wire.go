package rollouts

import (
	"time"

	"rhubarbwood.example/rhubarbwood/internal/peer"
	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
	"rhubarbwood.example/rhubarbwood/internal/revision"
	"rhubarbwood.example/rhubarbwood/internal/rollout"
)

// unknownAge is the age of an order whose first sight no host knows.
const unknownAge time.Duration = -1

func encodeID(id rollout.ID) *peerpb.RolloutOrderID {
	return &peerpb.RolloutOrderID{Service: id.Service, Version: id.Version, CreatedEra: id.Created.Era, CreatedRevision: id.Created.Number}
}

func decodeID(in *peerpb.RolloutOrderID) rollout.ID {
	return rollout.ID{
		Service: in.GetService(), Version: in.GetVersion(),
		Created: revision.Revision{Era: in.GetCreatedEra(), Number: in.GetCreatedRevision()},
	}
}

// encodeAge encodes an age in microseconds; every negative one is the same.
func encodeAge(age time.Duration) int64 {
	if age < 0 {
		return -1
	}
	return age.Microseconds()
}

func decodeAge(us int64) time.Duration {
	if us < 0 {
		return unknownAge
	}
	return peer.FromMicros(us)
}

// decodePhase returns false for the phases of a newer release.
func decodePhase(in uint32) (rollout.Phase, bool) {
	return rollout.Phase(in), in <= uint32(rollout.PhaseSucceeded)
}

// encodeEvidence encodes the evidence of a host, with the given counts only.
func encodeEvidence(e rollout.HostEvidence, counts []rollout.Counts) *peerpb.RolloutEvidence {
	out := &peerpb.RolloutEvidence{
		Id: encodeID(e.ID), Phase: uint32(e.Phase), OrderAgeUs: encodeAge(e.Age),
		OldInFlight: uint32(max(e.OldInFlight, 0)), Reason: e.Reason,
	}
	for _, c := range counts {
		out.Counts = append(out.Counts, encodeCounts(c))
	}
	return out
}

// encodeCounts leaves out the empty buckets at the end.
func encodeCounts(c rollout.Counts) *peerpb.RolloutCounts {
	used := 0
	for i, n := range c.Latencies {
		if n > 0 {
			used = i + 1
		}
	}
	return &peerpb.RolloutCounts{Route: c.Route, Target: c.Target, Sent: c.Sent, Failed: c.Failed, Latencies: c.Latencies[:used]}
}

// decodeEvidence returns false if the evidence is of no order or of an unknown phase.
func decodeEvidence(in *peerpb.RolloutEvidence) (rollout.HostEvidence, bool) {
	phase, ok := decodePhase(in.GetPhase())
	if !ok || in.GetId().GetService() == "" || in.GetId().GetVersion() == "" {
		return rollout.HostEvidence{}, false
	}
	out := rollout.HostEvidence{
		ID: decodeID(in.Id), Phase: phase, Age: decodeAge(in.OrderAgeUs), Reason: in.Reason,
		Evidence: rollout.Evidence{OldInFlight: int(in.OldInFlight)},
	}
	for _, c := range in.Counts {
		counts := rollout.Counts{Route: c.GetRoute(), Target: c.GetTarget(), Sent: c.GetSent(), Failed: c.GetFailed()}
		copy(counts.Latencies[:], c.GetLatencies())
		out.Counts = append(out.Counts, counts)
	}
	return out, true
}

func encodeDirective(d rollout.Directive) *peerpb.RolloutDirective {
	return &peerpb.RolloutDirective{
		Id: encodeID(d.ID), Phase: uint32(d.Phase), Share: d.Share, NonIdempotent: d.NonIdempotent,
		Reason: d.Reason, OrderAgeUs: encodeAge(d.Age),
	}
}

// decodeDirective returns false if the directive has an unknown phase or no valid share.
func decodeDirective(in *peerpb.RolloutDirective) (rollout.Directive, bool) {
	phase, ok := decodePhase(in.GetPhase())
	share := in.GetShare()
	if !ok || !(share >= 0 && share <= 1) { // false also if it is not a number
		return rollout.Directive{}, false
	}
	return rollout.Directive{
		ID: decodeID(in.GetId()), Phase: phase, Share: share, NonIdempotent: in.GetNonIdempotent(),
		Reason: in.GetReason(), Age: decodeAge(in.GetOrderAgeUs()),
	}, true
}
