package discovery

import (
	"time"

	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
	"rhubarbwood.example/rhubarbwood/internal/quarantine"
)

// writeReply encodes news for a request that came at a time and is answered now, but for the
// configuration.
func writeReply(n News, began, now time.Time) *peerpb.FollowReply {
	out := &peerpb.FollowReply{
		HeldUs:      now.Sub(began).Microseconds(),
		ConfigAgeUs: age(now, n.ConfigAsOf), RegistryAgeUs: age(now, n.RegistryAsOf), EvacuationsAgeUs: age(now, n.EvacuationsAsOf),
		AllTargets: n.AllTargets, OutageAgeUs: age(now, n.Outage),
		Findings: writeFindings(n.Findings), FindingEpoch: n.FindingEpoch, FindingNumber: n.FindingNumber,
		Requests: quarantine.AllToWire(n.Requests, now), RequestEpoch: n.RequestsMark.Epoch, RequestNumber: n.RequestsMark.Number,
	}
	writeRevisions(n, out)
	if n.Evacuated != nil {
		out.Evacuations = &peerpb.Evacuations{FailureDomains: n.Evacuated.Domains}
		for domain, at := range n.EvacuationEnds {
			out.Evacuations.Ended = append(out.Evacuations.Ended, &peerpb.EvacuationEnd{FailureDomain: domain, AgeUs: age(now, at)})
		}
	}
	out.PermitNumber, out.Permits = n.PermitNumber, writePermits(n.Permits)
	out.KeptNumber, out.StoredVersion, out.EraAgeUs = n.Kept.Number, n.StoredVersion, n.EraAge.Microseconds()
	out.MemoryAgeUs = n.MemoryAge.Microseconds()
	out.Tombstones, out.KeptEvacuations = writeTombstones(n.Kept.Tombstones), writeKept(n.Kept.Evacuations)
	for _, c := range n.Changes {
		out.Targets = append(out.Targets, &peerpb.TargetInfo{
			Id: c.Target.ID, Gone: c.Gone, Service: c.Target.Service, Address: c.Target.Address,
			FailureDomain: c.Target.Domain, Slots: int64(c.Target.Slots), Draining: c.Target.Draining,
			WarmupUs: max(c.Target.ColdUntil.Sub(now), 0).Microseconds(), BornMs: c.Target.Born,
		})
	}
	return out
}

// readReply decodes the reply to a request that was sent at a time. Ages are
// taken to be as great as they can be: the reply was sent at the earliest when
// the request had been held, but not after it was received, whatever a peer's clock
// has counted.
func readReply(r *peerpb.FollowReply, asked, received time.Time) (News, error) {
	sent := asked.Add(time.Duration(r.HeldUs) * time.Microsecond)
	if sent.After(received) {
		sent = received
	}
	n := News{
		ConfigAsOf: before(sent, r.ConfigAgeUs), RegistryAsOf: before(sent, r.RegistryAgeUs),
		AllTargets: r.AllTargets, Outage: before(sent, r.OutageAgeUs),
		Findings: readFindings(r.Findings), FindingEpoch: r.FindingEpoch, FindingNumber: r.FindingNumber,
		Requests: quarantine.AllFromWire(r.Requests, sent),
	}
	readRevisions(r, &n)
	if len(r.Config) > 0 {
		config, err := decodeConfig(r.Config)
		if err != nil {
			return News{}, err
		}
		n.Config = config // one that is kept is taken like any newer one
	}
	if r.EvacuationRevision > 0 { // else the host does not know them
		n.EvacuationsAsOf = before(sent, r.EvacuationsAgeUs)
	}
	if r.Evacuations != nil {
		n.Evacuated = &EvacuationRead{Domains: r.Evacuations.FailureDomains, Revision: n.EvacuationRevision}
		n.EvacuationEnds = readEnds(r.Evacuations.Ended, sent)
	}
	n.Permits, n.StoredVersion, n.EraAge = readPermits(r.Permits), r.StoredVersion, time.Duration(max(r.EraAgeUs, 0))*time.Microsecond
	n.MemoryAge = time.Duration(max(r.MemoryAgeUs, 0)) * time.Microsecond
	n.Kept = Kept{Number: r.KeptNumber, Tombstones: readTombstones(r.Tombstones), Evacuations: readKept(r.KeptEvacuations)}
	for _, t := range r.Targets {
		n.Changes = append(n.Changes, TargetChange{Gone: t.Gone, Target: Target{
			ID: t.Id, Service: t.Service, Address: t.Address, Domain: t.FailureDomain,
			Slots: int(t.Slots), Draining: t.Draining, Warmup: time.Duration(t.WarmupUs) * time.Microsecond, Born: t.BornMs,
		}})
	}
	return n, nil
}

// readEnds reads when evacuations ended, as told by a reply that was sent at a time. They are taken to have
// ended as late as they can have.
func readEnds(all []*peerpb.EvacuationEnd, sent time.Time) map[string]time.Time {
	ends := map[string]time.Time{}
	for _, e := range all {
		if e.AgeUs >= 0 {
			ends[e.FailureDomain] = before(sent, e.AgeUs)
		}
	}
	return ends
}

// never is the age of what never was.
const never = -1

// age returns the time since a moment in microseconds.
func age(now, moment time.Time) int64 {
	if moment.IsZero() {
		return never
	}
	return max(now.Sub(moment).Microseconds(), 0)
}

// before returns the moment of an age, the zero time if it never was.
func before(now time.Time, ageUs int64) time.Time {
	if ageUs < 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(ageUs) * time.Microsecond)
}

func writeFindings(all []Finding) []*peerpb.Finding {
	out := make([]*peerpb.Finding, 0, len(all))
	for _, f := range all {
		out = append(out, &peerpb.Finding{
			Target: f.Target, BornMs: f.Born, Bad: f.Bad, Ended: f.Ended, LatencyUs: f.Latency.Microseconds(), Failures: f.Failures,
			FailureDomain: f.Domain, AgeUs: f.Age.Microseconds(),
		})
	}
	return out
}

func readFindings(in []*peerpb.Finding) []Finding {
	var all []Finding
	for _, f := range in {
		all = append(all, Finding{
			Target: f.Target, Born: f.BornMs, Bad: f.Bad, Ended: f.Ended, Latency: time.Duration(f.LatencyUs) * time.Microsecond, Failures: f.Failures,
			Domain: f.FailureDomain, Age: time.Duration(f.AgeUs) * time.Microsecond,
		})
	}
	return all
}
