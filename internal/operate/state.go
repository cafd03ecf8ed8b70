package operate

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/oklog/ulid/v2"

	"rhubarbwood.example/rhubarbwood/internal/catalog"
	"rhubarbwood.example/rhubarbwood/internal/lang"
	"rhubarbwood.example/rhubarbwood/internal/objstore"
	"rhubarbwood.example/rhubarbwood/internal/revision"
)

func (e *Executor) hosts() *Table {
	t := newTable("host", "failure_domain", "state", "incarnation", "revision", "peer", "api")
	self := e.parts.Members.Self().ID
	for _, h := range e.parts.Members.Hosts() {
		t.add(h.ID, h.FailureDomain, string(h.State), number(h.Incarnation), revisionText(h.Revision), h.Peer, h.API)
	}
	t.note("%d hosts as host %s sees them", len(t.Rows), self)
	return t
}

// services lists the services in force here with their versions in the
// platform, which a change must name.
func (e *Executor) services(ctx context.Context) *Table {
	t := newTable("service", "workload", "urgency", "targets", "drained", "latency_objective", "latency_ratio",
		"coverage_ratio", "version", "revision")
	stored, err := e.storedServices(ctx)
	if err != nil {
		t.note("versions are not known, as the platform can't be read: %s", oneLine(err))
	}
	for _, s := range e.parts.Catalog.Services() {
		o := stored[s.Name]
		t.add(s.Name, s.Workload, string(s.Urgency), strconv.Itoa(len(s.Targets)), strconv.Itoa(drainedTargets(s)),
			s.Rules.LatencyObjective.String(), fraction(s.Rules.LatencyRatio), fraction(s.Rules.CoverageRatio),
			unlessZero(o.Version), revisionText(o.At().Ordinal()))
	}
	return t
}

// snapshots lists the snapshots in force here, newest first. Searches are
// answered from the newest one that the targets hold.
func (e *Executor) snapshots() *Table {
	t := newTable("workload", "snapshot", "services", "shards")
	seen := make(map[string]bool)
	for _, s := range e.parts.Catalog.Services() {
		if seen[s.Workload] {
			continue
		}
		seen[s.Workload] = true
		for _, snap := range e.parts.Catalog.Snapshots(s.Workload) {
			shards := 0
			for _, m := range snap.Services {
				shards += len(m.Shards)
			}
			t.add(snap.Workload, number(snap.ID), strconv.Itoa(len(snap.Services)), strconv.Itoa(shards))
		}
	}
	return t
}

// storedServices returns the service objects as the platform holds them now.
func (e *Executor) storedServices(ctx context.Context) (map[string]objstore.Object, error) {
	l, err := e.parts.Store.List(ctx, objstore.KindService)
	if err != nil {
		return nil, err
	}
	byName := map[string]objstore.Object{}
	for _, o := range l.Objects {
		byName[o.Name] = o
	}
	return byName, nil
}

func drainedTargets(s catalog.Service) int {
	n := 0
	for _, t := range s.Targets {
		if t.Drained {
			n++
		}
	}
	return n
}

// targets lists the targets of the services in force here. Their state is
// known only to the hosts that relay them.
func (e *Executor) targets() *Table {
	t := newTable("service", "target", "failure_domain", "address", "slots", "drained", "state", "in_flight", "limit",
		"connections", "attempts", "sheds", "errors", "last_reason")
	relayed := e.relayed()
	for _, s := range e.parts.Catalog.Services() {
		for _, c := range s.Targets {
			row := []string{s.Name, c.ID, c.FailureDomain, c.Address, strconv.Itoa(c.Slots), yesNo(c.Drained)}
			t.add(append(row, stateOf(relayed[[2]string{s.Name, c.ID}])...)...)
		}
	}
	t.note("host %s relays %d of %d targets; states and counts are its own", e.parts.Members.Self().ID, len(relayed), len(t.Rows))
	return t
}

func (e *Executor) relayed() map[[2]string]*Target {
	byTarget := map[[2]string]*Target{}
	if e.parts.Relay == nil {
		return byTarget
	}
	for _, t := range e.parts.Relay.TargetStates() {
		byTarget[[2]string{t.Service, t.ID}] = &t
	}
	return byTarget
}

const stateColumns = 8

func stateOf(t *Target) []string {
	if t == nil {
		return make([]string, stateColumns)
	}
	return []string{
		t.State, strconv.Itoa(t.InFlight), strconv.Itoa(t.Limit), strconv.Itoa(t.Connections),
		strconv.FormatInt(t.Attempts, 10), strconv.FormatInt(t.Sheds, 10), strconv.FormatInt(t.Errors, 10), string(t.LastReason),
	}
}

// config lists the revision in force on each host, and which hosts lack the
// newest one that any host has reported.
func (e *Executor) config(ctx context.Context) *Table {
	t := newTable("host", "failure_domain", "state", "revision", "has_newest")
	newest := e.newest()
	f := e.parts.Catalog.InForce(ctx, newest)
	byEra := map[uint64][]string{}
	for _, h := range e.parts.Members.Hosts() {
		told := max(h.Revision, f.Revisions[h.ID])
		byEra[revision.FromOrdinal(told).Era] = append(byEra[revision.FromOrdinal(told).Era], h.ID)
		t.add(h.ID, h.FailureDomain, string(h.State), revisionText(told), yesNo(!slices.Contains(f.Missing, h.ID)))
	}
	t.note("%s", describeInForce(f))
	noteEras(t, byEra)
	if e.parts.Catalog.Stale() {
		t.note("host %s is cut off from platform and peers, so a newer revision may be in force elsewhere", e.parts.Members.Self().ID)
	}
	return t
}

// noteEras tells of hosts that go by different eras of the platform: those of the earlier one have not heard that it came
// back from an older copy.
func noteEras(t *Table, byEra map[uint64][]string) {
	eras := slices.Sorted(maps.Keys(byEra))
	for _, era := range eras[:max(len(eras)-1, 0)] {
		t.note("the platform came back from an older copy, and is in era %d; era %d on %s", eras[len(eras)-1], era, strings.Join(byEra[era], ", "))
	}
}

// newest returns the newest revision that any host has reported.
func (e *Executor) newest() uint64 {
	newest := e.parts.Catalog.Revision()
	for _, h := range e.parts.Members.Hosts() {
		newest = max(newest, h.Revision)
	}
	return newest
}

func describeInForce(f catalog.InForce) string {
	text := fmt.Sprintf("revision %s is in force on %d of %d hosts", revisionText(f.Revision), f.On, f.Of)
	if len(f.Missing) > 0 {
		text += ", not yet on " + strings.Join(f.Missing, ", ")
	}
	return text
}

func (e *Executor) showClaim(ctx context.Context, s lang.ShowClaim) (*Table, error) {
	if e.parts.Claims == nil {
		return nil, badRequest("this host keeps no reservations")
	}
	if _, err := ulid.ParseStrict(s.ID); err != nil {
		return nil, badRequest("reservation id %q: %w", s.ID, err)
	}
	c, err := e.parts.Claims.Lookup(ctx, s.ID)
	if err != nil {
		return nil, platformUnavailable(err)
	}
	t := newTable("field", "value")
	t.add("reservation", c.ReservationID)
	if !c.Found {
		t.add("phase", "none")
		t.note("there is no record: nothing was sent under this id, or it is past its horizon")
		return t, nil
	}
	r := c.Record
	for _, row := range [][]string{
		{"phase", string(r.Phase)}, {"service", r.Service}, {"caller", r.Caller}, {"target", r.Target},
		{"host", r.Host}, {"incarnation", number(r.Incarnation)}, {"host_alive", yesNo(c.HostAlive)}, {"attempt", r.Attempt},
		{"outcome", r.Outcome}, {"granted", yesNo(r.Granted)}, {"answer", r.Answer}, {"reason", string(r.Reason)},
	} {
		t.add(row...)
	}
	return t, nil
}

func number(n uint64) string { return strconv.FormatUint(n, 10) }

// unlessZero returns n as text, empty for 0, which stands for not known.
func unlessZero(n uint64) string {
	if n == 0 {
		return ""
	}
	return number(n)
}

// revisionText returns the revision of an ordinal as text, empty for one that is not known.
func revisionText(ordinal uint64) string {
	if ordinal == 0 {
		return ""
	}
	return revision.FromOrdinal(ordinal).String()
}

func fraction(f float64) string { return strconv.FormatFloat(f, 'f', -1, 64) }

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
