package load

import (
	"context"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/query"
	"rhubarbwood.example/rhubarbwood/internal/standin/fixture"
	"rhubarbwood.example/rhubarbwood/internal/standin/target"
)

const (
	domainAfter    = 10 * time.Second
	firstAfter     = 2 * time.Second
	firstCoverage  = 0.985           // over what the targets left hold, while nobody knows of the loss
	settledAfter   = 6 * time.Second // membership knows by then
	mixedLoad      = 0.4             // interactive, of the slots' capacity
	mixedOthers    = 0.45            // deferrable besides, likewise
	domainAnswered = 0.99
	domainCoverage = 0.99 // over what the targets left hold
	oneRow         = 1    // of a shard; the answers are told apart by their rows
)

// domainLoss makes a whole failure domain go, hosts and targets at once, in
// both places; with all replicas of a shard and with one; and with deferrable
// searches besides, which together offer more than the survivors can run.
func domainLoss(ctx context.Context, o Options) (Findings, error) {
	return domainLossBy(ctx, o, measureLoss, 1)
}

func domainLossBy(ctx context.Context, o Options, run lossMeasurer, seeds int) (Findings, error) {
	var f Findings
	for _, t := range domainLossTrials() {
		if o.Brief && !t.brief {
			continue
		}
		cs, err := measureSeeds(ctx, o, run, seeds, t)
		if err != nil {
			return f, err
		}
		f.Reports = append(f.Reports, cs.reports(t, true)...)
		f.Verdicts = append(f.Verdicts, cs.domainVerdicts(t)...)
	}
	return f, nil
}

func domainLossTrials() []lossTrial {
	var trials []lossTrial
	for _, p := range []place{kolkata, nordeste} {
		trials = append(trials,
			lostDomainTrial(p, hostKilled, 0),
			lostDomainTrial(p, hostFrozen, 0),
			lostDomainTrial(p, hostKilled, 1),
			lostDomainTrial(p, hostFrozen, 1),
			mixed(lostDomainTrial(p, hostFrozen, 0)))
	}
	return trials
}

// lostDomainTrial has the first failure domain of the place suffer a fault. 0
// replicas are all.
func lostDomainTrial(p place, f hostFault, replicas int) lossTrial {
	var lost []*lossHost
	var domain string
	c := policyOn()
	c.place = p.with(replicas)
	t := lossTrial{
		name: p.workload + " " + string(f), site: c, load: steadyLoad, after: domainAfter,
		prepare: func(s *lossSite) {
			domain = s.maps.Domains[0]
			lost = s.inDomain(domain)
			s.spare(lost...)
		},
		event: func(_ context.Context, s *lossSite) {
			s.loseTargets(f, domain)
			s.lose(f, lost...)
		},
	}
	if replicas > 0 {
		t.name += ", 1 replica"
	}
	return t
}

// mixed adds deferrable searches to a trial, so that both classes together
// offer more than the survivors can run, and the interactive one less.
func mixed(t lossTrial) lossTrial {
	t.name += ", mixed"
	t.load, t.deferrable, t.brief = mixedLoad, mixedOthers, true
	return t
}

// with returns the place with another number of replicas and one row a shard.
func (p place) with(replicas int) place {
	whole := p.layout
	p.layout = func(o fixture.Options) fixture.Layout {
		o.Replicas = replicas
		edit := o.Edit
		o.Edit = func(c *target.Config) {
			edit(c)
			c.RowsPerShard = oneRow
		}
		return whole(o)
	}
	return p
}

func (cs courses) domainVerdicts(t lossTrial) []Verdict {
	all := summary(cs.samples(query.Interactive, part{0, t.after}))
	first := summary(cs.samples(query.Interactive, part{0, firstAfter}))
	settled := part{settledAfter, t.after}
	after := summary(cs.samples(query.Interactive, settled))
	untrue := 0
	for _, u := range t.urgencies() {
		untrue += summary(cs.samples(u, part{-beforeLoss, t.after})).untrue
	}
	verdicts := []Verdict{
		atMost("answers whose coverage was untrue, "+t.name, float64(untrue), 0),
		atLeast("answered over offered after the event, "+t.name, all.answered, domainAnswered),
		atLeast("coverage over what the targets left hold, first 2 s, "+t.name, first.coverage, firstCoverage),
		atLeast("coverage over what the targets left hold, from 6 s, "+t.name, after.coverage, domainCoverage),
		atMost("load of the slots left, from 6 s, "+t.name, cs.survivorsLoad(settled), 1),
	}
	if t.deferrable > 0 {
		others := summary(cs.samples(query.Deferrable, settled))
		verdicts = append(verdicts,
			atMost("deferrable answered over interactive answered, from 6 s, "+t.name, ratio(others.answered, after.answered), 1))
	}
	return verdicts
}
