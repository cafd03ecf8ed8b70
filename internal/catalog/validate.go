package catalog

import (
	"errors"
	"fmt"
	"net"
	"regexp"
	"slices"
	"sort"

	"rhubarbwood.example/rhubarbwood/internal/query"
	"rhubarbwood.example/rhubarbwood/internal/unit"
)

const maxNameLength = 63

// namePattern keeps names usable in paths, labels and statements. It excludes
// dots, which separate the workload from the id in the name of a snapshot's object.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

// problems collects the validation errors of an object.
type problems []error

func (p *problems) add(format string, args ...any) { *p = append(*p, fmt.Errorf(format, args...)) }

func (p *problems) require(ok bool, format string, args ...any) {
	if !ok {
		p.add(format, args...)
	}
}

func (p *problems) name(field, name string) {
	ok := len(name) <= maxNameLength && namePattern.MatchString(name)
	p.require(ok, "%s: %q is not a name: want 1 to %d of a-z, 0-9 and inner hyphens", field, name, maxNameLength)
}

// ValidateService reports every problem of a service, joined, or nil. Zero
// rules are valid, since they are replaced by defaults.
func ValidateService(s Service) error {
	var p problems
	p.name("name", s.Name)
	p.name("workload", s.Workload)
	urgent := s.Urgency == query.Interactive || s.Urgency == query.Deferrable
	p.require(urgent, "urgency: %q is neither %q nor %q", s.Urgency, query.Interactive, query.Deferrable)
	p.require(len(s.Targets) > 0, "targets: want at least one")
	seen := map[string]bool{}
	for i, t := range s.Targets {
		p.require(!seen[t.ID], "targets[%d].id: %q is there twice", i, t.ID)
		seen[t.ID] = true
		p.target(fmt.Sprintf("targets[%d]", i), t)
	}
	p.rules(s.Rules.withDefaults())
	return errors.Join(p...)
}

func (p *problems) target(path string, t Target) {
	p.require(t.ID != "", "%s.id: is missing", path)
	_, _, err := net.SplitHostPort(t.Address)
	p.require(err == nil, "%s.address: %q is not host:port", path, t.Address)
	p.require(t.FailureDomain != "", "%s.failure_domain: is missing", path)
	p.require(t.Slots > 0, "%s.slots: %d is less than 1", path, t.Slots)
	p.require(t.Connections > 0, "%s.connections: %d is less than 1", path, t.Connections)
}

func (p *problems) rules(r Rules) {
	known := r.Protocol == ProtocolHTTP1 || r.Protocol == ProtocolH2C
	p.require(known, "rules.protocol: %q is neither %q nor %q", r.Protocol, ProtocolHTTP1, ProtocolH2C)
	p.require(r.Relays >= 0, "rules.relays: %d is negative", r.Relays)
	p.require(r.ConnectionsPerRelay > 0, "rules.connections_per_relay: %d is negative", r.ConnectionsPerRelay)
	p.positive("rules.default_budget", r.DefaultBudget)
	p.positive("rules.queue_wait", r.QueueWait)
	p.positive("rules.latency_objective", r.LatencyObjective)
	p.require(r.HedgeQuantile > 0 && r.HedgeQuantile < 1, "rules.hedge_quantile: %g is not between 0 and 1", r.HedgeQuantile)
	p.require(r.HedgeBudget <= 1, "rules.hedge_budget: %g is more than 1", r.HedgeBudget)
	p.require(r.RetryBudget <= 1, "rules.retry_budget: %g is more than 1", r.RetryBudget)
	p.ratio("rules.latency_ratio", r.LatencyRatio)
	p.ratio("rules.coverage_ratio", r.CoverageRatio)
}

func (p *problems) positive(field string, d unit.Duration) {
	p.require(d > 0, "%s: %s is not more than 0", field, d)
}

func (p *problems) ratio(field string, v float64) {
	p.require(v > 0 && v < 1, "%s: %g is not between 0 and 1", field, v)
}

// ValidateSnapshot reports every problem of a snapshot, joined, or nil. services
// are those in force; every target id in a shard map must be a target of its
// service.
func ValidateSnapshot(s Snapshot, services []Service) error {
	var p problems
	p.snapshot(s)
	byName := map[string]Service{}
	for _, svc := range services {
		byName[svc.Name] = svc
	}
	for _, name := range sortedKeys(s.Services) {
		svc, ok := byName[name]
		switch {
		case !ok:
			p.add("services.%s: there is no such service", name)
		case svc.Workload != s.Workload:
			p.add("services.%s: belongs to workload %q", name, svc.Workload)
		default:
			p.shardTargets(name, s.Services[name], svc.Targets)
		}
	}
	for _, svc := range services {
		_, ok := s.Services[svc.Name]
		p.require(ok || svc.Workload != s.Workload, "services.%s: is missing, though it belongs to the workload", svc.Name)
	}
	return errors.Join(p...)
}

// ValidateNewSnapshot reports every problem of a snapshot that is to be
// published, joined, or nil: those of ValidateSnapshot, and an id that is not
// above those of the workload's other snapshots.
func ValidateNewSnapshot(s Snapshot, inForce View) error {
	err := ValidateSnapshot(s, inForce.Services())
	newest := inForce.Snapshots(s.Workload)
	if len(newest) > 0 && s.ID <= newest[0].ID {
		err = errors.Join(err, Error.New("id: %d is not above %d, the newest of the workload", s.ID, newest[0].ID))
	}
	return err
}

// snapshot checks the snapshot by itself, without the services in force.
func (p *problems) snapshot(s Snapshot) {
	p.name("workload", s.Workload)
	p.require(s.ID > 0, "id: want more than 0")
	p.require(len(s.Services) > 0, "services: want at least one")
	for _, name := range sortedKeys(s.Services) {
		m := s.Services[name]
		p.require(m.IndexVersion != "", "services.%s.index_version: is missing", name)
		p.require(len(m.Shards) > 0, "services.%s.shards: want at least one", name)
		for i, targetIDs := range m.Shards {
			p.require(len(targetIDs) > 0, "services.%s.shards[%d]: no target holds it", name, i)
		}
	}
}

func (p *problems) shardTargets(service string, m ShardMap, targets []Target) {
	for i, targetIDs := range m.Shards {
		for j, id := range targetIDs {
			known := slices.ContainsFunc(targets, func(t Target) bool { return t.ID == id })
			p.require(known, "services.%s.shards[%d]: %q is not a target of the service", service, i, id)
			p.require(!slices.Contains(targetIDs[:j], id), "services.%s.shards[%d]: %q is there twice", service, i, id)
		}
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
