package load

import (
	"fmt"

	"rhubarbwood.example/rhubarbwood/internal/catalog"
	"rhubarbwood.example/rhubarbwood/internal/delivery"
	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/standin/fixture"
)

// fixedCatalog is a configuration that doesn't change. Its rules have the
// defaults filled in.
type fixedCatalog struct {
	services  []catalog.Service
	snapshots []catalog.Snapshot
}

func newFixedCatalog(l fixture.Layout, workload string, rules catalog.Rules) *fixedCatalog {
	c := &fixedCatalog{}
	for _, s := range l.Services {
		if s.Workload == workload {
			s.Rules = rules
			c.services = append(c.services, s)
		}
	}
	for _, s := range l.Snapshots {
		if s.Workload == workload {
			c.snapshots = append(c.snapshots, s)
		}
	}
	return c
}

// Service implements catalog.View.
func (c *fixedCatalog) Service(name string) (catalog.Service, bool) {
	for _, s := range c.services {
		if s.Name == name {
			return s, true
		}
	}
	return catalog.Service{}, false
}

// Workload implements catalog.View.
func (c *fixedCatalog) Workload(string) []catalog.Service { return c.services }

// Services implements catalog.View.
func (c *fixedCatalog) Services() []catalog.Service { return c.services }

// Snapshots implements catalog.View.
func (c *fixedCatalog) Snapshots(string) []catalog.Snapshot { return c.snapshots }

// Revision implements catalog.View.
func (c *fixedCatalog) Revision() uint64 { return 1 }

// fixedMembers is the membership view of one host; it doesn't change.
type fixedMembers struct {
	self  int
	hosts []member.Host
}

func newHosts(n int, domains []string) []member.Host {
	hosts := make([]member.Host, n)
	for i := range hosts {
		hosts[i] = member.Host{
			ID:            fmt.Sprintf("host-%d", i+1),
			FailureDomain: domains[i%len(domains)],
			State:         member.Alive,
		}
	}
	return hosts
}

// Self implements member.View.
func (m *fixedMembers) Self() member.Host { return m.hosts[m.self] }

// Hosts implements member.View.
func (m *fixedMembers) Hosts() []member.Host { return m.hosts }

// Count implements member.View.
func (m *fixedMembers) Count() int { return len(m.Hosts()) }

// Generation implements member.View.
func (m *fixedMembers) Generation() uint64 { return 1 }

// neverStale implements entry.Freshness for a configuration that is always
// current.
type neverStale struct{}

// Stale implements entry.Freshness.
func (neverStale) Stale() bool { return false }

// discardRecorder discards delivery records.
type discardRecorder struct{}

// Record implements delivery.Recorder.
func (discardRecorder) Record(delivery.Delivery) {}
