package load

import (
	"context"
	"fmt"
)

const highLoad = 0.8 // as a fraction of the slots' capacity

// relays compares direct calls from every host, with and without a limit on
// connections, with 1, 2, 3, 4 and all hosts relaying to a target, in both kinds
// of sites.
func relays(ctx context.Context, o Options) (Findings, error) {
	var trials []trial
	for _, p := range []siteKind{guestPortalSite, vitrineSite} {
		trials = append(trials, relayTrials(p)...)
	}
	reports, err := measureAll(ctx, o, trials)
	return Findings{Reports: reports}, err
}

func relayTrials(p siteKind) []trial {
	bounded, on := siteWithoutPolicies(), siteWithPolicies()
	bounded.kind, on.kind = p, p
	unbounded := bounded
	unbounded.connections = 0
	prefix := p.workload + ", "
	trials := []trial{
		{name: prefix + "direct, unbounded", site: unbounded, loadFactor: highLoad},
		{name: prefix + "direct, 2 connections", site: bounded, loadFactor: highLoad, brief: true},
	}
	for _, r := range []int{1, 2, 3, 4, hostsPerSite} {
		c := on
		c.rules.Relays = r
		name := fmt.Sprintf("%srelays=%d", prefix, r)
		trials = append(trials, trial{name: name, site: c, loadFactor: highLoad, brief: r == 3 || r == hostsPerSite})
	}
	return trials
}
