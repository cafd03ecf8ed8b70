package load

import (
	"context"
	"fmt"
)

const busyLoad = 0.8 // of the slots' capacity

// relays compares direct calls from every host, with and without a bound on
// connections, with 1, 2, 3 and all relays a target.
func relays(ctx context.Context, o Options) (Findings, error) {
	open := policyOff()
	open.connections = 0
	trials := []trial{
		{name: "direct, unbounded", site: open, load: busyLoad},
		{name: "direct, 2 connections", site: policyOff(), load: busyLoad},
	}
	for _, r := range []int{1, 2, 3, siteHosts} {
		c := policyOn()
		c.rules.Relays = r
		if r < siteHosts {
			c.rules.ConnectionsPerRelay = max(2, 6/r)
		}
		trials = append(trials, trial{name: fmt.Sprintf("relays=%d", r), site: c, load: busyLoad})
	}
	reports, err := measureAll(ctx, o, trials)
	return Findings{Reports: reports}, err
}
