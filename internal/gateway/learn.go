package gateway

import (
	"math/rand/v2"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/discovery"
)

// meanProbeInterval is the mean time between the probes that all hosts together send to an ejected
// target. It bounds how late its recovery is noticed.
const meanProbeInterval = 300 * time.Millisecond

// drawProbeDelay returns after what time this host probes a target that some host ejected. Each
// host draws its own exponentially distributed delay, so that one of them probes soon.
func (g *Gateway) drawProbeDelay() time.Duration {
	return time.Duration(rand.ExpFloat64() * float64(g.hostCount()) * float64(meanProbeInterval))
}

// applyFindings applies other hosts' findings about targets.
func (g *Gateway) applyFindings(all []discovery.Finding) {
	now := time.Now()
	for _, f := range all {
		s, t := g.registry.find(f.Target)
		if t == nil || f.StartMillis != t.info.StartMillis { // another incarnation
			continue
		}
		s.mu.Lock()
		if f.ShedRatio > 0 {
			g.applyShedFinding(now, t, f)
			s.mu.Unlock()
			continue
		}
		before := t.health.Ejected(now)
		t.applyFinding(now, f, g.self.FailureDomain, g.drawProbeDelay())
		if f.Ended {
			t.noteUnreachable()
		}
		if t.health.Ejected(now) != before {
			g.logHealth(now, t, f.Domain)
		}
		s.grantSlots(now)
		s.mu.Unlock()
	}
}

// A host of a large fleet sends each target a few requests per second, so most of what it sends to
// targets that reject requests is spent on finding that out: with 29 hosts and 57 of 108 targets that
// reject six of ten requests, a fifth of all arrivals was rejected.
const (
	// minSharedShedRatio is the ratio of rejected requests from which a host sends a finding to the others.
	minSharedShedRatio = 0.3
	// shedFindingInterval is the time between two findings of rejections at a target, whichever hosts
	// make them. Rejections of a target that is full for a moment make one finding.
	shedFindingInterval = 250 * time.Millisecond
)

// applyShedFinding applies another host's finding that a target rejects requests. The caller holds
// the lock of its service.
func (g *Gateway) applyShedFinding(now time.Time, t *target, f discovery.Finding) {
	if g.cfg.disabled(ShedPenalty) {
		return
	}
	t.shedSharedAt = now
	t.health.ApplyRemoteSheds(now, f.ShedRatio)
}

// reportSheds publishes to the other hosts that a target rejects many requests. The caller holds the
// lock of its service.
func (g *Gateway) reportSheds(now time.Time, t *target) {
	if g.cfg.disabled(Findings) || now.Sub(t.shedSharedAt) < shedFindingInterval {
		return
	}
	ratio := t.health.ShedRatio(now)
	if ratio < minSharedShedRatio {
		return
	}
	t.shedSharedAt = now
	// Without a failure domain, a host that does not know the ratio yet takes nothing from the finding: with one,
	// it would readmit an ejected target.
	g.state.ReportFinding(discovery.Finding{Target: t.info.ID, StartMillis: t.info.StartMillis, ShedRatio: ratio})
}

// logHealth logs that a target was ejected or readmitted. from is the failure domain of the host
// that found so, or "this host".
func (g *Gateway) logHealth(now time.Time, t *target, from string) {
	g.log.Event(evTargetHealth).Str("target", t.info.ID).Str("service", t.info.Service).
		Bool("set_aside", t.health.Ejected(now)).Dur("latency", t.health.Latency()).
		Float64("failures", t.health.FailureRatio()).Str("from", from).Msg("")
}

// applyFinding applies one finding. A target may be bad for the hosts of one failure domain only,
// so it is readmitted only by a finding from this host's own domain or from the domain that ejected
// it.
func (t *target) applyFinding(now time.Time, f discovery.Finding, domain string, probeAfter time.Duration) {
	switch {
	case f.Bad && t.health.Ejected(now):
		t.health.Postpone(now, probeAfter)
	case f.Bad:
		if t.health.ApplyRemote(now, f.Latency, f.Failures, true, probeAfter) {
			t.ejectedByDomain = f.Domain
		}
	case f.Domain == domain || f.Domain == t.ejectedByDomain:
		t.health.ApplyRemote(now, f.Latency, f.Failures, false, 0)
	}
}

// reportHealthChange publishes to the other hosts that this one ejected, ejected again or
// readmitted a target. ejectedUntil is the end of the ejection before the last observation.
func (g *Gateway) reportHealthChange(now time.Time, t *target, ejectedUntil time.Time) {
	until := t.health.SetAsideUntil()
	if until.Equal(ejectedUntil) {
		return
	}
	bad := !until.IsZero()
	if bad {
		t.ejectedByDomain = g.self.FailureDomain
	}
	g.logHealth(now, t, "this host")
	if g.cfg.disabled(Findings) {
		return
	}
	g.state.ReportFinding(discovery.Finding{
		Target: t.info.ID, StartMillis: t.info.StartMillis, Bad: bad, Ended: bad && t.unreachable, Latency: t.health.Latency(), Failures: t.health.FailureRatio(), Domain: g.self.FailureDomain,
	})
}
