package discovery

import (
	"time"

	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
	"rhubarbwood.example/rhubarbwood/internal/quarantine"
)

// encodeReply encodes an update, except for the configuration, as the reply at time now to a
// request that was received at receivedAt.
func encodeReply(u Update, receivedAt, now time.Time) *peerpb.FollowReply {
	out := &peerpb.FollowReply{
		HeldUs:      now.Sub(receivedAt).Microseconds(),
		ConfigAgeUs: ageMicros(now, u.ConfigAsOf), RegistryAgeUs: ageMicros(now, u.RegistryAsOf), EvacuationsAgeUs: ageMicros(now, u.EvacuationsAsOf),
		AllTargets: u.AllTargets, OutageAgeUs: ageMicros(now, u.OutageEnd),
		Findings: encodeFindings(u.Findings), FindingEpoch: u.FindingEpoch, FindingNumber: u.FindingNumber,
		Requests: quarantine.AllToWire(u.Requests, now), RequestEpoch: u.RequestsMark.Epoch, RequestNumber: u.RequestsMark.Number,
	}
	encodeReplyRevisions(u, out)
	if u.Evacuated != nil {
		out.Evacuations = &peerpb.Evacuations{FailureDomains: u.Evacuated.Domains}
		for domain, at := range u.EvacuationEnds {
			out.Evacuations.Ended = append(out.Evacuations.Ended, &peerpb.EvacuationEnd{FailureDomain: domain, AgeUs: ageMicros(now, at)})
		}
	}
	if u.RolloutRevision.Number > 0 {
		out.RolloutsAgeUs, out.Rollouts = ageMicros(now, u.RolloutsAsOf), encodeOrders(u, now)
	}
	out.PermitNumber, out.Permits = u.PermitNumber, encodePermits(u.Permits)
	out.KeptNumber, out.StoredVersion, out.EraAgeUs = u.Kept.Number, u.StoredVersion, u.EraAge.Microseconds()
	out.MemoryAgeUs = u.SenderUptime.Microseconds()
	out.Tombstones, out.KeptEvacuations = encodeTombstones(u.Kept.Tombstones), encodeKeptEvacuations(u.Kept.Evacuations)
	for _, c := range u.Changes {
		out.Targets = append(out.Targets, &peerpb.TargetInfo{
			Id: c.Target.ID, Gone: c.Gone, Service: c.Target.Service, Address: c.Target.Address,
			FailureDomain: c.Target.Domain, Slots: int64(c.Target.Slots), Draining: c.Target.Draining,
			WarmupUs: max(c.Target.ColdUntil.Sub(now), 0).Microseconds(), BornMs: c.Target.StartMillis, Version: c.Target.Version,
		})
	}
	return out
}

// decodeReply decodes the reply to a request that was sent at requestedAt. All ages are taken as
// the greatest possible: the reply was sent as soon as the request had been held, but not after
// receivedAt, whatever the peer's clock has counted.
func decodeReply(r *peerpb.FollowReply, requestedAt, receivedAt time.Time) (Update, error) {
	sentAt := requestedAt.Add(time.Duration(r.HeldUs) * time.Microsecond)
	if sentAt.After(receivedAt) {
		sentAt = receivedAt
	}
	u := Update{
		ConfigAsOf: timeOfAge(sentAt, r.ConfigAgeUs), RegistryAsOf: timeOfAge(sentAt, r.RegistryAgeUs),
		AllTargets: r.AllTargets, OutageEnd: timeOfAge(sentAt, r.OutageAgeUs),
		Findings: decodeFindings(r.Findings), FindingEpoch: r.FindingEpoch, FindingNumber: r.FindingNumber,
		Requests: quarantine.AllFromWire(r.Requests, sentAt),
	}
	decodeReplyRevisions(r, &u)
	if len(r.Config) > 0 {
		config, err := decodeConfig(r.Config)
		if err != nil {
			return Update{}, err
		}
		u.Config = config // a kept configuration is applied like any newer one
	}
	if r.EvacuationRevision > 0 { // otherwise the sender does not have them
		u.EvacuationsAsOf = timeOfAge(sentAt, r.EvacuationsAgeUs)
	}
	if r.Evacuations != nil {
		u.Evacuated = &EvacuationRead{Domains: r.Evacuations.FailureDomains, Revision: u.EvacuationRevision}
		u.EvacuationEnds = decodeEvacuationEnds(r.Evacuations.Ended, sentAt)
	}
	u.Permits, u.StoredVersion, u.EraAge = decodePermits(r.Permits), r.StoredVersion, time.Duration(max(r.EraAgeUs, 0))*time.Microsecond
	u.SenderUptime = time.Duration(max(r.MemoryAgeUs, 0)) * time.Microsecond
	u.Kept = Kept{Number: r.KeptNumber, Tombstones: decodeTombstones(r.Tombstones), Evacuations: decodeKeptEvacuations(r.KeptEvacuations)}
	if r.RolloutRevision > 0 { // otherwise the sender has none
		u.RolloutsAsOf = timeOfAge(sentAt, r.RolloutsAgeUs)
		u.Orders, u.Kept.Orders = decodeOrders(r.Rollouts, u.RolloutRevision, receivedAt)
	}
	for _, t := range r.Targets {
		u.Changes = append(u.Changes, TargetChange{Gone: t.Gone, Target: Target{
			ID: t.Id, Service: t.Service, Address: t.Address, Domain: t.FailureDomain,
			Slots: int(t.Slots), Draining: t.Draining, Warmup: time.Duration(t.WarmupUs) * time.Microsecond, StartMillis: t.BornMs, Version: t.Version,
		}})
	}
	return u, nil
}

// decodeEvacuationEnds decodes when evacuations ended, from a reply that was sent at sentAt.
func decodeEvacuationEnds(ended []*peerpb.EvacuationEnd, sentAt time.Time) map[string]time.Time {
	ends := map[string]time.Time{}
	for _, e := range ended {
		if e.AgeUs >= 0 {
			ends[e.FailureDomain] = timeOfAge(sentAt, e.AgeUs)
		}
	}
	return ends
}

// neverAge is the age of the zero time.
const neverAge = -1

// ageMicros returns the age of a moment in microseconds, neverAge for the zero time.
func ageMicros(now, moment time.Time) int64 {
	if moment.IsZero() {
		return neverAge
	}
	return max(now.Sub(moment).Microseconds(), 0)
}

// timeOfAge returns the moment of an age in microseconds, the zero time for a negative one.
func timeOfAge(now time.Time, ageUs int64) time.Time {
	if ageUs < 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(ageUs) * time.Microsecond)
}

func encodeFindings(all []Finding) []*peerpb.Finding {
	out := make([]*peerpb.Finding, 0, len(all))
	for _, f := range all {
		out = append(out, &peerpb.Finding{
			Target: f.Target, BornMs: f.StartMillis, Bad: f.Bad, Ended: f.Ended, LatencyUs: f.Latency.Microseconds(), Failures: f.Failures,
			FailureDomain: f.Domain, AgeUs: f.Age.Microseconds(), ShedRatio: f.ShedRatio,
		})
	}
	return out
}

func decodeFindings(in []*peerpb.Finding) []Finding {
	var all []Finding
	for _, f := range in {
		all = append(all, Finding{
			Target: f.Target, StartMillis: f.BornMs, Bad: f.Bad, Ended: f.Ended, Latency: time.Duration(f.LatencyUs) * time.Microsecond, Failures: f.Failures,
			Domain: f.FailureDomain, Age: time.Duration(f.AgeUs) * time.Microsecond, ShedRatio: f.ShedRatio,
		})
	}
	return all
}
