package load

import (
	"context"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

const (
	lossDuration       = 8 * time.Second
	replaceInterval    = 2 * time.Second
	settledWindow      = 2 * time.Second
	minLossAnswered    = 0.99 // of the searches offered after the event
	maxRecoverySeconds = 6.0  // the time that membership takes to detect a dead host, and half a second
	maxSettledP99Ratio = 1.5  // p99 of the settled window over that of the baseline
)

// relayLoss kills, freezes or slows the host that relays the most services, and
// replaces all hosts one after another. Searches are sent to the entries of the
// other hosts.
func relayLoss(ctx context.Context, o Options) (Findings, error) {
	return relayLossBy(ctx, o, measureLoss, 1)
}

func relayLossBy(ctx context.Context, o Options, run lossMeasureFunc, seeds int) (Findings, error) {
	var f Findings
	for _, t := range relayLossTrials() {
		if o.Brief && !t.brief {
			continue
		}
		cs, err := measureSeeds(ctx, o, run, seeds, t)
		if err != nil {
			return f, err
		}
		f.Reports = append(f.Reports, cs.reports(t, o.Brief)...)
		f.Verdicts = append(f.Verdicts, cs.relayVerdicts(t)...)
		f.Verdicts = append(f.Verdicts, cs.recoveryVerdict(t))
	}
	return f, nil
}

func relayLossTrials() []lossTrial {
	trials := []lossTrial{replaceAllTrial()}
	for _, f := range []hostFault{hostSlow, hostFrozen, hostKilled} {
		trials = append([]lossTrial{lostRelayTrial(f)}, trials...)
	}
	return trials
}

// lostRelayTrial injects a fault into the host that relays the most services.
func lostRelayTrial(f hostFault) lossTrial {
	var victim *lossHost
	return lossTrial{
		name: "relay " + string(f), site: lossSiteConfig(), interactiveLoad: lossLoad, afterEvent: lossDuration,
		brief:   f != hostSlow,
		prepare: func(s *lossSite) { victim = s.busiestRelay(); s.removeFromBalancer(victim) },
		event:   func(_ context.Context, s *lossSite) { s.injectHostFault(f, victim) },
	}
}

// replaceAllTrial replaces all hosts one after another: a new host starts, the
// old one begins to leave a second later and stops after another second.
func replaceAllTrial() lossTrial {
	all := hostsPerSite * replaceInterval
	return lossTrial{
		name: "all replaced", site: lossSiteConfig(), interactiveLoad: lossLoad, afterEvent: all + lossDuration,
		event: func(ctx context.Context, s *lossSite) {
			start := time.Now()
			for i, old := range s.runningHostsExcept("") {
				if sleepUntil(ctx, start.Add(time.Duration(i)*replaceInterval)) != nil || s.replaceHost(ctx, old) != nil {
					return
				}
			}
		},
	}
}

// replaceHost starts the replacement of a host, and drains the old host
// afterwards.
func (s *lossSite) replaceHost(ctx context.Context, old *lossHost) error {
	replacement := old.member
	replacement.ID += "-new"
	members := []member.Host{replacement}
	for _, h := range s.runningHostsExcept("") {
		members = append(members, h.member)
	}
	if err := s.startHost(ctx, replacement, members); err != nil {
		return err
	}
	for _, h := range s.runningHostsExcept(replacement.ID) {
		h.members.scheduleAnnouncement(s.rng, replacement, member.Alive)
	}
	if err := sleepUntil(ctx, time.Now().Add(replaceInterval/2)); err != nil {
		return err
	}
	s.drainHost(old)
	return nil
}

// drainHost makes a host refuse relayed work and announce to the others that it
// is leaving. The host stops before the next one is replaced.
func (s *lossSite) drainHost(h *lossHost) {
	s.removeFromBalancer(h)
	h.setFault(hostLeaving)
	for _, o := range s.runningHostsExcept(h.member.ID) {
		o.members.scheduleAnnouncement(s.rng, h.member, member.Leaving)
	}
	time.AfterFunc(replaceInterval/2, func() {
		h.setFault(hostKilled)
		for _, o := range s.runningHostsExcept(h.member.ID) {
			o.members.scheduleAnnouncement(s.rng, h.member, member.Dead)
		}
	})
}

func (cs lossRuns) relayVerdicts(t lossTrial) []Verdict {
	before := cs.samples(query.Interactive, interval{-baselineDuration, -searchBudget})
	after := summarize(cs.samples(query.Interactive, interval{0, t.afterEvent}))
	settled := summarize(cs.samples(query.Interactive, interval{t.afterEvent - settledWindow, t.afterEvent}))
	return []Verdict{
		atLeast("answered over offered after the event, "+t.name, after.answered, minLossAnswered),
		atLeast("answered completely over offered after the event, "+t.name, after.complete, minLossAnswered),
		atMost("answers with wrong coverage, "+t.name, float64(after.wrongCoverage), 0),
		atMost("p99 of the last 2 s over baseline, "+t.name, ratio(settled.p99.Seconds(), summarize(before).p99.Seconds()), maxSettledP99Ratio),
	}
}

// recoveryVerdict is only meaningful over several seeds: one seed gives too few
// searches in each window.
func (cs lossRuns) recoveryVerdict(t lossTrial) Verdict {
	from := max(t.afterEvent-lossDuration, 0)
	return atMost("recovery time in seconds, "+t.name, cs.recoveryTime(t, from).Seconds(), maxRecoverySeconds)
}

// lossSiteConfig returns the site of the relay losses, with all replicas and one
// row per shard.
func lossSiteConfig() siteConfig {
	c := siteWithPolicies()
	c.kind = guestPortalSite.withReplicas(0)
	return c
}
