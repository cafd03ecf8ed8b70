package plan

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"rhubarbwood.example/rhubarbwood/internal/member"
)

// The benchmarks below compute the figures of docs/design/assignment.md: 1,400
// services of 3 targets on 720 hosts in 5 failure domains.

const (
	benchHosts         = 720
	benchDomains       = 5
	benchServices      = 1400
	benchQueryServices = 167 // services per query
	benchQueries       = 400
)

// assignUnbounded assigns relays without a load bound, for comparison.
func assignUnbounded(all []ServiceSpec, hosts []member.Host) *Assignment {
	return newPlacer(hosts).assign(all, unlimitedLoad)
}

var assigners = []struct {
	name   string
	assign func([]ServiceSpec, []member.Host) *Assignment
}{{"plain", assignUnbounded}, {"bounded", Assign}}

// BenchmarkAssign measures the time of one assignment and how evenly it spreads
// the load.
func BenchmarkAssign(b *testing.B) {
	hosts := fleet(benchHosts, benchDomains)
	for _, m := range assigners {
		for _, r := range []int{2, 4, 8, 12} {
			b.Run(fmt.Sprintf("%s/r=%d", m.name, r), func(b *testing.B) {
				all := testSpecs(benchServices, 3, r)
				var a *Assignment
				for b.Loop() {
					a = m.assign(all, hosts)
				}
				busiest, idle := loadSpread(a, hosts)
				b.ReportMetric(busiest, "busiest/mean")
				b.ReportMetric(float64(idle), "idle_hosts")
			})
		}
	}
}

// loadSpread returns the highest load over the mean, and the hosts without load.
func loadSpread(a *Assignment, hosts []member.Host) (busiest float64, idle int) {
	total := 0
	maxLoad := 0
	for _, h := range hosts {
		load := a.Load(h.ID)
		total += load
		maxLoad = max(maxLoad, load)
		if load == 0 {
			idle++
		}
	}
	return float64(maxLoad) * float64(len(hosts)) / float64(total), idle
}

// BenchmarkMoved measures the share of (service, relay) pairs that change after
// the death of one host, and its ratio to the pairs that must change: those of
// the dead host.
func BenchmarkMoved(b *testing.B) {
	hosts := fleet(benchHosts, benchDomains)
	for _, m := range assigners {
		for _, r := range []int{2, 4, 8} {
			b.Run(fmt.Sprintf("%s/r=%d", m.name, r), func(b *testing.B) {
				all := testSpecs(benchServices, 3, r)
				before := m.assign(all, hosts)
				const deaths = 20
				moved, own := 0, 0
				for b.Loop() {
					moved, own = 0, 0
					for d := range deaths {
						dead := d * 37 % benchHosts
						after := m.assign(all, without(hosts, dead))
						moved += addedRelays(all, before, after)
						own += before.Load(hosts[dead].ID) / 3
					}
				}
				pairs := float64(deaths * benchServices * r)
				b.ReportMetric(100*float64(moved)/pairs, "moved_%")
				b.ReportMetric(float64(moved)/float64(max(own, 1)), "moved/own")
			})
		}
	}
}

// BenchmarkViews measures how many relays connect to the targets of a service
// when the hosts have two views of the membership that differ by k hosts: the
// union of the relays in both views.
func BenchmarkViews(b *testing.B) {
	hosts := fleet(benchHosts, benchDomains)
	for _, m := range assigners {
		for _, k := range []int{1, 10, 144} {
			b.Run(fmt.Sprintf("%s/r=4/differ=%d", m.name, k), func(b *testing.B) {
				all := testSpecs(benchServices, 3, 4)
				var maxRelays int
				var mean float64
				for b.Loop() {
					maxRelays, mean = unionSizes(all, m.assign(all, hosts), m.assign(all, withoutFirst(hosts, k)))
				}
				b.ReportMetric(float64(maxRelays), "relays_most")
				b.ReportMetric(mean, "relays_mean")
			})
		}
	}
}

// BenchmarkCover measures the messages per query, the time to compute them, the
// largest message, and the work of the busiest relay over the mean, summed over
// all queries. In runs with a balance above 0, the weight of a host decreases
// with the work that it has received.
func BenchmarkCover(b *testing.B) {
	hosts := fleet(benchHosts, benchDomains)
	for _, r := range []int{2, 4, 8, 12} {
		for _, maxServices := range []int{2, 4, 0} {
			for _, power := range []float64{0, 1, 2} {
				b.Run(fmt.Sprintf("r=%d/most=%d/balance=%g", r, maxServices, power), func(b *testing.B) {
					all := testSpecs(benchServices, 3, r)
					work := make(map[string]int)
					c := Coverer{Assignment: Assign(all, hosts), MaxServices: maxServices}
					c.Weight = balancingWeight(work, power)
					rng := rand.New(rand.NewPCG(1, 1))
					for b.Loop() {
						c.Cover(randomServices(all, rng), rng)
					}
					reportCover(b, c, all, work)
				})
			}
		}
	}
	for _, r := range []int{2, 4, 8, 12} {
		b.Run(fmt.Sprintf("r=%d/at_random", r), func(b *testing.B) {
			all := testSpecs(benchServices, 3, r)
			a := Assign(all, hosts)
			rng := rand.New(rand.NewPCG(1, 1))
			messages, work := 0, make(map[string]int)
			for b.Loop() {
				messages = 0
				clear(work)
				for range benchQueries {
					messages += coverAtRandom(a, randomServices(all, rng), rng, work)
				}
			}
			b.ReportMetric(float64(messages)/benchQueries, "messages")
			b.ReportMetric(maxOverMean(work), "work_most/mean")
		})
	}
}

// balancingWeight returns a weight function: mean work divided by the work of the
// host, both plus 1, raised to a power.
func balancingWeight(work map[string]int, power float64) func(member.Host) float64 {
	return func(h member.Host) float64 {
		total := 0
		for _, w := range work {
			total += w
		}
		mean := float64(total+benchHosts) / benchHosts
		return math.Pow(mean/float64(work[h.ID]+1), power)
	}
}

// reportCover runs the queries again with a fixed seed and reports the metrics of
// BenchmarkCover.
func reportCover(b *testing.B, c Coverer, all []ServiceSpec, work map[string]int) {
	rng := rand.New(rand.NewPCG(1, 1))
	messages, largest := 0, 0
	for range benchQueries {
		requests, _ := c.Cover(randomServices(all, rng), rng)
		messages += len(requests)
		for _, request := range requests {
			largest = max(largest, len(request.Services))
			work[request.Relay.ID] += len(request.Services)
		}
	}
	b.ReportMetric(float64(messages)/benchQueries, "messages")
	b.ReportMetric(float64(largest), "largest")
	b.ReportMetric(maxOverMean(work), "work_most/mean")
}

// randomServices returns the services of one query: consecutive ones from a
// random start.
func randomServices(all []ServiceSpec, rng *rand.Rand) []string {
	first := rng.IntN(len(all))
	services := make([]string, benchQueryServices)
	for i := range services {
		services[i] = all[(first+i)%len(all)].Service
	}
	return services
}

// coverAtRandom picks a random relay for each service, adds its work, and returns
// the number of relays used.
func coverAtRandom(a *Assignment, services []string, rng *rand.Rand, work map[string]int) int {
	contacted := make(map[string]bool)
	for _, s := range services {
		relays := a.Relays(s)
		h := relays[rng.IntN(len(relays))].ID
		contacted[h] = true
		work[h]++
	}
	return len(contacted)
}

// maxOverMean returns the work of the busiest host over the mean of all hosts.
func maxOverMean(work map[string]int) float64 {
	maxWork, total := 0, 0
	for _, w := range work {
		maxWork = max(maxWork, w)
		total += w
	}
	return float64(maxWork) * benchHosts / float64(total)
}

// without returns a copy of the hosts without the one at index i.
func without(hosts []member.Host, i int) []member.Host {
	left := append([]member.Host(nil), hosts[:i]...)
	return append(left, hosts[i+1:]...)
}

// withoutFirst returns the hosts without the first k of the first failure domain.
func withoutFirst(hosts []member.Host, k int) []member.Host {
	var left []member.Host
	for i, h := range hosts {
		if i%benchDomains == 0 && i/benchDomains < k {
			continue
		}
		left = append(left, h)
	}
	return left
}

// addedRelays counts the (service, relay) pairs that are only in after.
func addedRelays(all []ServiceSpec, before, after *Assignment) int {
	n := 0
	for _, s := range all {
		was := distinct(before.Relays(s.Service))
		for _, h := range after.Relays(s.Service) {
			if !was[h.ID] {
				n++
			}
		}
	}
	return n
}

// unionSizes returns the maximum and mean number of relays of a service in the
// union of two assignments.
func unionSizes(all []ServiceSpec, a, b *Assignment) (maxRelays int, mean float64) {
	total := 0
	for _, s := range all {
		both := distinct(a.Relays(s.Service))
		for _, h := range b.Relays(s.Service) {
			both[h.ID] = true
		}
		maxRelays = max(maxRelays, len(both))
		total += len(both)
	}
	return maxRelays, float64(total) / float64(len(all))
}
