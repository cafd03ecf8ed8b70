package load

import (
	"context"
	"fmt"
)

const busyLoad = 0.8 // of the slots' capacity

// relays compares direct calls from every host, with and without a bound on
// connections, with 1, 2, 3 and all relays a target, in both places.
func relays(ctx context.Context, o Options) (Findings, error) {
	var trials []trial
	for _, p := range []place{kolkata, nordeste} {
		trials = append(trials, relayTrials(p)...)
	}
	reports, err := measureAll(ctx, o, trials)
	return Findings{Reports: reports}, err
}

func relayTrials(p place) []trial {
	bounded, on := policyOff(), policyOn()
	bounded.place, on.place = p, p
	open := bounded
	open.connections = 0
	prefix := p.workload + ", "
	trials := []trial{
		{name: prefix + "direct, unbounded", site: open, load: busyLoad},
		{name: prefix + "direct, 2 connections", site: bounded, load: busyLoad, brief: true},
	}
	for _, r := range []int{1, 2, 3, 4, siteHosts} {
		c := on
		c.rules.Relays = r
		name := fmt.Sprintf("%srelays=%d", prefix, r)
		trials = append(trials, trial{name: name, site: c, load: busyLoad, brief: r == 3 || r == siteHosts})
	}
	return trials
}
