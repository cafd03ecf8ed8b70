package policy

const (
	// nearFraction is the part of the best domain's count of near shards (shards with a
	// target in the domain) that a host's failure domain must reach for the host to gather
	// queries. A host elsewhere fetches every part across domains, whose links are shared
	// and paid for, where one merged answer would do.
	nearFraction = 0.5
	// gathererFraction is the part of shared resources (extra attempts, connections to a
	// target) that goes to the hosts that gather for others. 15 of 295 hosts send nine
	// tenths of the requests to targets; with equal shares each could keep only one
	// connection per target and repeat two requests in ten seconds. The rest is for hosts
	// whose gathering hosts are lost.
	gathererFraction = 0.75
)

// Gathers reports whether a host gathers queries, its own and those of others. link is the
// rate of its link and widest that of the widest link, in Mbit/s, 0: unknown; near is the
// number of shards with a target in its failure domain and nearest the number in the best
// domain.
//
// It serves the load pattern of queries over many shards that arrive at many hosts, of
// which few have the link rate or the location to gather them.
func Gathers(link, widest float64, near, nearest int) bool {
	return !IsNarrow(link, widest) && IsNear(near, nearest)
}

// IsNear reports whether a failure domain that holds targets of near shards suits gathering
// as well as the one that holds targets of nearest.
func IsNear(near, nearest int) bool { return float64(near) >= nearFraction*float64(nearest) }

// Weight returns one host's part of the resources that a fleet shares, where gatherers of
// the hosts gather queries. The parts of all hosts sum to at most 1.
func Weight(gathers bool, gatherers, hosts int) float64 {
	hosts = max(hosts, 1)
	others := hosts - gatherers
	switch {
	case gatherers <= 0 || others <= 0:
		return 1 / float64(hosts)
	case gathers:
		return gathererFraction / float64(gatherers)
	}
	return (1 - gathererFraction) / float64(others)
}
