package load

import (
	"context"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/query"
	"rhubarbwood.example/rhubarbwood/internal/standin/fixture"
	"rhubarbwood.example/rhubarbwood/internal/standin/target"
)

const (
	domainLossDuration    = 10 * time.Second
	undetectedWindow      = 2 * time.Second
	minUndetectedCoverage = 0.985           // of the coverage possible with the remaining targets, before the loss is detected
	settledFrom           = 6 * time.Second // membership has detected the loss
	mixedInteractiveLoad  = 0.4             // as a fraction of the slots' capacity
	mixedDeferrableLoad   = 0.45            // additional deferrable load, likewise
	minDomainAnswered     = 0.99            // of the searches offered after the event
	minDomainCoverage     = 0.99            // of the coverage possible with the remaining targets
	rowsPerShard          = 1               // a row identifies the shard that answered
)

// domainLoss removes all hosts and targets of a failure domain at once, in both
// kinds of sites: with the default number of replicas per shard, with one
// replica, and with additional deferrable searches, where the total load exceeds
// the capacity of the survivors.
func domainLoss(ctx context.Context, o Options) (Findings, error) {
	return domainLossBy(ctx, o, measureLoss, 1)
}

func domainLossBy(ctx context.Context, o Options, run lossMeasureFunc, seeds int) (Findings, error) {
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
	for _, p := range []siteKind{guestPortalSite, vitrineSite} {
		trials = append(trials,
			lostDomainTrial(p, hostKilled, 0),
			lostDomainTrial(p, hostFrozen, 0),
			lostDomainTrial(p, hostKilled, 1),
			lostDomainTrial(p, hostFrozen, 1),
			withDeferrable(lostDomainTrial(p, hostFrozen, 0)))
	}
	return trials
}

// lostDomainTrial injects a fault into the first failure domain of the site. 0
// replicas are the default number of the layout.
func lostDomainTrial(p siteKind, f hostFault, replicas int) lossTrial {
	var lost []*lossHost
	var domain string
	c := siteWithPolicies()
	c.kind = p.withReplicas(replicas)
	t := lossTrial{
		name: p.workload + " " + string(f), site: c, interactiveLoad: lossLoad, afterEvent: domainLossDuration,
		prepare: func(s *lossSite) {
			domain = s.shardLayout.Domains[0]
			lost = s.hostsInDomain(domain)
			s.removeFromBalancer(lost...)
		},
		event: func(_ context.Context, s *lossSite) {
			s.loseTargets(f, domain)
			s.injectHostFault(f, lost...)
		},
	}
	if replicas > 0 {
		t.name += ", 1 replica"
	}
	return t
}

// withDeferrable adds deferrable searches to a trial, so that the load of both
// classes together exceeds the capacity of the survivors, while the interactive
// load alone doesn't.
func withDeferrable(t lossTrial) lossTrial {
	t.name += ", mixed"
	t.interactiveLoad, t.deferrableLoad, t.brief = mixedInteractiveLoad, mixedDeferrableLoad, true
	return t
}

// withReplicas returns the kind of site with another number of replicas and one
// row per shard.
func (p siteKind) withReplicas(replicas int) siteKind {
	layout := p.layout
	p.layout = func(o fixture.Options) fixture.Layout {
		o.Replicas = replicas
		edit := o.Edit
		o.Edit = func(c *target.Config) {
			edit(c)
			c.RowsPerShard = rowsPerShard
		}
		return layout(o)
	}
	return p
}

func (cs lossRuns) domainVerdicts(t lossTrial) []Verdict {
	all := summarize(cs.samples(query.Interactive, interval{0, t.afterEvent}))
	first := summarize(cs.samples(query.Interactive, interval{0, undetectedWindow}))
	settled := interval{settledFrom, t.afterEvent}
	after := summarize(cs.samples(query.Interactive, settled))
	wrongCoverage := 0
	for _, u := range t.urgencies() {
		wrongCoverage += summarize(cs.samples(u, interval{-baselineDuration, t.afterEvent})).wrongCoverage
	}
	verdicts := []Verdict{
		atMost("answers with wrong coverage, "+t.name, float64(wrongCoverage), 0),
		atLeast("answered over offered after the event, "+t.name, all.answered, minDomainAnswered),
		atLeast("coverage over possible coverage, first 2 s, "+t.name, first.coverage, minUndetectedCoverage),
		atLeast("coverage over possible coverage, from 6 s, "+t.name, after.coverage, minDomainCoverage),
		atMost("utilization of the surviving slots, from 6 s, "+t.name, cs.survivorsUtilization(settled), 1),
	}
	if t.deferrableLoad > 0 {
		others := summarize(cs.samples(query.Deferrable, settled))
		verdicts = append(verdicts,
			atMost("deferrable answered over interactive answered, from 6 s, "+t.name, ratio(others.answered, after.answered), 1))
	}
	return verdicts
}
