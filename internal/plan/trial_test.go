package plan

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"rhubarbwood.example/rhubarbwood/internal/member"
)

// The benchmarks below are the arithmetic of docs/design/assignment.md: 1,400
// services of 3 targets over 720 hosts in 5 failure domains.

const (
	trialHosts    = 720
	trialDomains  = 5
	trialServices = 1400
	trialWidth    = 167 // services of one query
	trialQueries  = 400
)

func plain(all []ReplicaSet, hosts []member.Host) *Assignment {
	return newPlacer(hosts).assign(all, unbounded)
}

var makers = []struct {
	name string
	make func([]ReplicaSet, []member.Host) *Assignment
}{{"plain", plain}, {"bounded", Assign}}

// BenchmarkAssign gives the time of one computation and how even it is.
func BenchmarkAssign(b *testing.B) {
	hosts := fleet(trialHosts, trialDomains)
	for _, m := range makers {
		for _, r := range []int{2, 4, 8, 12} {
			b.Run(fmt.Sprintf("%s/r=%d", m.name, r), func(b *testing.B) {
				all := sets(trialServices, 3, r)
				var a *Assignment
				for b.Loop() {
					a = m.make(all, hosts)
				}
				busiest, idle := evenness(a, hosts)
				b.ReportMetric(busiest, "busiest/mean")
				b.ReportMetric(float64(idle), "idle_hosts")
			})
		}
	}
}

func evenness(a *Assignment, hosts []member.Host) (busiest float64, idle int) {
	total := 0
	most := 0
	for _, h := range hosts {
		load := a.Load(h.ID)
		total += load
		most = max(most, load)
		if load == 0 {
			idle++
		}
	}
	return float64(most) * float64(len(hosts)) / float64(total), idle
}

// BenchmarkMoved gives the share of (service, relay) pairs that differ after
// one host died, over what must differ, its own pairs.
func BenchmarkMoved(b *testing.B) {
	hosts := fleet(trialHosts, trialDomains)
	for _, m := range makers {
		for _, r := range []int{2, 4, 8} {
			b.Run(fmt.Sprintf("%s/r=%d", m.name, r), func(b *testing.B) {
				all := sets(trialServices, 3, r)
				before := m.make(all, hosts)
				const deaths = 20
				moved, own := 0, 0
				for b.Loop() {
					moved, own = 0, 0
					for d := range deaths {
						dead := d * 37 % trialHosts
						after := m.make(all, without(hosts, dead))
						moved += differing(all, before, after)
						own += before.Load(hosts[dead].ID) / 3
					}
				}
				pairs := float64(deaths * trialServices * r)
				b.ReportMetric(100*float64(moved)/pairs, "moved_%")
				b.ReportMetric(float64(moved)/float64(max(own, 1)), "moved/own")
			})
		}
	}
}

// BenchmarkViews gives how many relays a service has over its r when the hosts
// hold two views that differ by k hosts: the union is what connects.
func BenchmarkViews(b *testing.B) {
	hosts := fleet(trialHosts, trialDomains)
	for _, m := range makers {
		for _, k := range []int{1, 10, 144} {
			b.Run(fmt.Sprintf("%s/r=4/differ=%d", m.name, k), func(b *testing.B) {
				all := sets(trialServices, 3, 4)
				var most int
				var mean float64
				for b.Loop() {
					most, mean = union(all, m.make(all, hosts), m.make(all, lose(hosts, k)))
				}
				b.ReportMetric(float64(most), "relays_most")
				b.ReportMetric(mean, "relays_mean")
			})
		}
	}
}

// BenchmarkCover gives the messages of a query, the time to choose them, the
// largest message, and the most work that a relay has over the mean when all
// queries are taken together. In the balanced runs each host weighs less the
// more of the work it has had.
func BenchmarkCover(b *testing.B) {
	hosts := fleet(trialHosts, trialDomains)
	for _, r := range []int{2, 4, 8, 12} {
		for _, most := range []int{2, 4, 0} {
			for _, power := range []float64{0, 1, 2} {
				b.Run(fmt.Sprintf("r=%d/most=%d/balance=%g", r, most, power), func(b *testing.B) {
					all := sets(trialServices, 3, r)
					work := make(map[string]int)
					c := Coverer{Assignment: Assign(all, hosts), Most: most}
					c.Weight = balance(work, power)
					rng := rand.New(rand.NewPCG(1, 1))
					for b.Loop() {
						c.Cover(window(all, rng), rng)
					}
					report(b, c, all, work)
				})
			}
		}
	}
	for _, r := range []int{2, 4, 8, 12} {
		b.Run(fmt.Sprintf("r=%d/at_random", r), func(b *testing.B) {
			all := sets(trialServices, 3, r)
			a := Assign(all, hosts)
			rng := rand.New(rand.NewPCG(1, 1))
			messages, work := 0, make(map[string]int)
			for b.Loop() {
				messages = 0
				clear(work)
				for range trialQueries {
					messages += atRandom(a, window(all, rng), rng, work)
				}
			}
			b.ReportMetric(float64(messages)/trialQueries, "messages")
			b.ReportMetric(skew(work), "work_most/mean")
		})
	}
}

// balance weighs a host by the mean work over its own, to a power.
func balance(work map[string]int, power float64) func(member.Host) float64 {
	return func(h member.Host) float64 {
		total := 0
		for _, w := range work {
			total += w
		}
		mean := float64(total+trialHosts) / trialHosts
		return math.Pow(mean/float64(work[h.ID]+1), power)
	}
}

func report(b *testing.B, c Coverer, all []ReplicaSet, work map[string]int) {
	rng := rand.New(rand.NewPCG(1, 1))
	messages, largest := 0, 0
	for range trialQueries {
		asks, _ := c.Cover(window(all, rng), rng)
		messages += len(asks)
		for _, a := range asks {
			largest = max(largest, len(a.Services))
			work[a.Relay.ID] += len(a.Services)
		}
	}
	b.ReportMetric(float64(messages)/trialQueries, "messages")
	b.ReportMetric(float64(largest), "largest")
	b.ReportMetric(skew(work), "work_most/mean")
}

// window returns the neighbouring services of one query.
func window(all []ReplicaSet, rng *rand.Rand) []string {
	first := rng.IntN(len(all))
	services := make([]string, trialWidth)
	for i := range services {
		services[i] = all[(first+i)%len(all)].Service
	}
	return services
}

func atRandom(a *Assignment, services []string, rng *rand.Rand, work map[string]int) int {
	asked := make(map[string]bool)
	for _, s := range services {
		relays := a.Relays(s)
		h := relays[rng.IntN(len(relays))].ID
		asked[h] = true
		work[h]++
	}
	return len(asked)
}

func skew(work map[string]int) float64 {
	most, total := 0, 0
	for _, w := range work {
		most = max(most, w)
		total += w
	}
	return float64(most) * trialHosts / float64(total)
}

func without(hosts []member.Host, i int) []member.Host {
	left := append([]member.Host(nil), hosts[:i]...)
	return append(left, hosts[i+1:]...)
}

// lose returns the hosts without k of them, one failure domain first.
func lose(hosts []member.Host, k int) []member.Host {
	var left []member.Host
	for i, h := range hosts {
		if i%trialDomains == 0 && i/trialDomains < k {
			continue
		}
		left = append(left, h)
	}
	return left
}

func differing(all []ReplicaSet, before, after *Assignment) int {
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

func union(all []ReplicaSet, a, b *Assignment) (most int, mean float64) {
	total := 0
	for _, s := range all {
		both := distinct(a.Relays(s.Service))
		for _, h := range b.Relays(s.Service) {
			both[h.ID] = true
		}
		most = max(most, len(both))
		total += len(both)
	}
	return most, float64(total) / float64(len(all))
}
