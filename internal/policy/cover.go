package policy

import (
	"math/bits"
	"math/rand/v2"
)

// minCellShards is the smallest number of shards that are gathered by another host: for
// fewer the parts are no more bytes than the gather request and the merged answer.
const minCellShards = 4

// Domains is a set of failure domains, by their index in a list of at most MostDomains.
type Domains uint64

// MostDomains is the largest number of failure domains in a set.
const MostDomains = 64

// DomainSet returns the set that contains one domain.
func DomainSet(index int) Domains { return 1 << index }

func (d Domains) has(index int) bool { return d&DomainSet(index) != 0 }

// AnyDomain is the Domain of a cell that no failure domain suits better than others.
const AnyDomain = -1

// Cell is a subset of a query's shards that is gathered in one failure domain.
type Cell struct {
	Domain int   // index of the domain, or AnyDomain
	Shards []int // indexes of the shards
}

// WholeCell returns one cell with all shards of a query.
func WholeCell(shards int) Cell {
	all := make([]int, shards)
	for i := range all {
		all[i] = i
	}
	return Cell{Domain: AnyDomain, Shards: all}
}

// Cover partitions the shards of a query into cells, so that each shard is queried from a
// domain in which it has a target. holders are the domains that hold a target, by shard;
// open are the domains with a host that gathers; own is the domain that is preferred, -1
// for none. Shards that no domain holds enough of to justify a cell go to the first cell.
//
// It serves the load pattern of a query over many shards, each with targets in some of
// the domains: gathered by one host, a large part of the answers would cross domains.
func Cover(rng *rand.Rand, holders []Domains, own int, open Domains) []Cell {
	left := WholeCell(len(holders)).Shards
	var cells []Cell
	for domain := range domainOrder(rng, holders, own, open) {
		var taken, rest []int
		for _, shard := range left {
			if holders[shard].has(domain) {
				taken = append(taken, shard)
			} else {
				rest = append(rest, shard)
			}
		}
		if len(taken) < minCellShards {
			continue
		}
		cells = append(cells, Cell{Domain: domain, Shards: taken})
		left = rest
	}
	switch {
	case len(cells) == 0:
		return []Cell{{Domain: AnyDomain, Shards: left}}
	case len(left) > 0:
		cells[0].Shards = append(cells[0].Shards, left...)
	}
	return cells
}

// domainOrder yields the domains in the order in which they take shards: the own domain,
// then each time the one that holds the most of the remaining shards.
func domainOrder(rng *rand.Rand, holders []Domains, own int, open Domains) func(yield func(int) bool) {
	return func(yield func(int) bool) {
		var covered Domains // domains whose shards are assigned
		next := own
		if own < 0 || !open.has(own) {
			next = bestDomain(rng, holders, covered, open)
		}
		for next >= 0 {
			if !yield(next) {
				return
			}
			covered |= DomainSet(next)
			next = bestDomain(rng, holders, covered, open&^covered)
		}
	}
}

// bestDomain returns the open domain that holds the most shards that no covered domain
// holds, a random one among equals; -1 if none holds any.
func bestDomain(rng *rand.Rand, holders []Domains, covered, open Domains) int {
	var counts [MostDomains]int
	for _, h := range holders {
		if h&covered != 0 {
			continue
		}
		for rest := h & open; rest != 0; rest &= rest - 1 {
			counts[bits.TrailingZeros64(uint64(rest))]++
		}
	}
	best, ties := -1, 0
	for i, n := range counts {
		switch {
		case n == 0 || best >= 0 && n < counts[best]:
			continue
		case best >= 0 && n == counts[best]:
			ties++
		default:
			ties = 1
		}
		if ties == 1 || rng.IntN(ties) == 0 {
			best = i
		}
	}
	return best
}
