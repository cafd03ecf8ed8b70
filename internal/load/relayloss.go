package load

import (
	"context"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

const (
	lossAfter    = 8 * time.Second
	replaceEvery = 2 * time.Second
	settledFor   = 2 * time.Second
	lossAnswered = 0.99 // of the searches, from the event on
	lossSteady   = 6.0  // seconds; what membership takes and half a second
	lossTail     = 1.5  // p99 when all is settled, over that of before
)

// relayLoss kills, freezes or slows the host that relays most, and replaces
// all hosts one after another. The entries that are asked are those of the
// other hosts.
func relayLoss(ctx context.Context, o Options) (Findings, error) {
	return relayLossBy(ctx, o, measureLoss, 1)
}

func relayLossBy(ctx context.Context, o Options, run lossMeasurer, seeds int) (Findings, error) {
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
		f.Verdicts = append(f.Verdicts, cs.steadyVerdict(t))
	}
	return f, nil
}

func relayLossTrials() []lossTrial {
	trials := []lossTrial{replacedTrial()}
	for _, f := range []hostFault{hostSlow, hostFrozen, hostKilled} {
		trials = append([]lossTrial{lostRelayTrial(f)}, trials...)
	}
	return trials
}

// lostRelayTrial has the host that relays most suffer a fault.
func lostRelayTrial(f hostFault) lossTrial {
	var victim *lossHost
	return lossTrial{
		name: "relay " + string(f), site: lossPolicy(), load: steadyLoad, after: lossAfter,
		brief:   f != hostSlow,
		prepare: func(s *lossSite) { victim = s.busiest(); s.spare(victim) },
		event:   func(_ context.Context, s *lossSite) { s.lose(f, victim) },
	}
}

// replacedTrial replaces all hosts one after another: a new one starts, a
// second later the old one leaves, and after another one it is gone.
func replacedTrial() lossTrial {
	all := siteHosts * replaceEvery
	return lossTrial{
		name: "all replaced", site: lossPolicy(), load: steadyLoad, after: all + lossAfter,
		event: func(ctx context.Context, s *lossSite) {
			start := time.Now()
			for i, old := range s.others("") {
				if sleepUntil(ctx, start.Add(time.Duration(i)*replaceEvery)) != nil || s.replace(ctx, old) != nil {
					return
				}
			}
		},
	}
}

// replace starts a host in the place of another one, which then leaves.
func (s *lossSite) replace(ctx context.Context, old *lossHost) error {
	fresh := old.member
	fresh.ID += "-new"
	known := []member.Host{fresh}
	for _, h := range s.others("") {
		known = append(known, h.member)
	}
	if err := s.startHost(ctx, fresh, known); err != nil {
		return err
	}
	for _, h := range s.others(fresh.ID) {
		h.members.learnNews(s.rng, fresh, member.Alive)
	}
	if err := sleepUntil(ctx, time.Now().Add(replaceEvery/2)); err != nil {
		return err
	}
	s.leave(old)
	return nil
}

// leave has a host refuse relayed work and tell the others that it leaves.
// When the next one is replaced, it is gone.
func (s *lossSite) leave(h *lossHost) {
	s.spare(h)
	h.suffer(hostLeaving)
	for _, o := range s.others(h.member.ID) {
		o.members.learnNews(s.rng, h.member, member.Leaving)
	}
	time.AfterFunc(replaceEvery/2, func() {
		h.suffer(hostKilled)
		for _, o := range s.others(h.member.ID) {
			o.members.learnNews(s.rng, h.member, member.Dead)
		}
	})
}

func (cs courses) relayVerdicts(t lossTrial) []Verdict {
	before := cs.samples(query.Interactive, part{-beforeLoss, -wideBudget})
	after := summary(cs.samples(query.Interactive, part{0, t.after}))
	settled := summary(cs.samples(query.Interactive, part{t.after - settledFor, t.after}))
	return []Verdict{
		atLeast("answered over offered after the event, "+t.name, after.answered, lossAnswered),
		atLeast("answered whole over offered after the event, "+t.name, after.whole, lossAnswered),
		atMost("answers whose coverage was untrue, "+t.name, float64(after.untrue), 0),
		atMost("p99 of the last 2 s over before, "+t.name, ratio(settled.p99.Seconds(), summary(before).p99.Seconds()), lossTail),
	}
}

// steadyVerdict wants more searches than one seed gives.
func (cs courses) steadyVerdict(t lossTrial) Verdict {
	from := max(t.after-lossAfter, 0)
	return atMost("seconds to steady state, "+t.name, cs.steady(t, from).Seconds(), lossSteady)
}

// lossPolicy is the site of the losses in Kolkata.
func lossPolicy() siteConfig {
	c := policyOn()
	c.place = kolkata.with(0)
	return c
}
