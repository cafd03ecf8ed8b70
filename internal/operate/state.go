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

// showHosts lists the hosts as this host's membership view has them.
func (e *Executor) showHosts() *Table {
	t := newTable("host", "failure_domain", "state", "incarnation", "revision", "peer", "api")
	self := e.deps.Members.Self().ID
	for _, h := range e.deps.Members.Hosts() {
		t.addRow(h.ID, h.FailureDomain, string(h.State), formatUint(h.Incarnation), formatRevision(h.Revision), h.PeerAddress, h.APIAddress)
	}
	t.addNote("%d hosts as host %s sees them", len(t.Rows), self)
	return t
}

// showServices lists the services in force on this host, with their versions in
// the platform. A change must name the version that it is based on.
func (e *Executor) showServices(ctx context.Context) *Table {
	t := newTable("service", "workload", "urgency", "targets", "drained", "latency_objective", "latency_ratio",
		"coverage_ratio", "version", "revision")
	stored, err := e.storedServices(ctx)
	if err != nil {
		t.addNote("versions are not known, as the platform can't be read: %s", oneLine(err))
	}
	for _, s := range e.deps.Catalog.Services() {
		o := stored[s.Name]
		t.addRow(s.Name, s.Workload, string(s.Urgency), strconv.Itoa(len(s.Targets)), strconv.Itoa(countDrained(s)),
			s.Rules.LatencyObjective.String(), formatFraction(s.Rules.LatencyRatio), formatFraction(s.Rules.CoverageRatio),
			formatNonzero(o.Version), formatRevision(o.At().Ordinal()))
	}
	return t
}

// showSnapshots lists the snapshots in force on this host, newest first. Searches
// are answered from the newest snapshot that the targets have.
func (e *Executor) showSnapshots() *Table {
	t := newTable("workload", "snapshot", "services", "shards")
	seen := make(map[string]bool)
	for _, s := range e.deps.Catalog.Services() {
		if seen[s.Workload] {
			continue
		}
		seen[s.Workload] = true
		for _, snap := range e.deps.Catalog.Snapshots(s.Workload) {
			shards := 0
			for _, m := range snap.Services {
				shards += len(m.Shards)
			}
			t.addRow(snap.Workload, formatUint(snap.ID), strconv.Itoa(len(snap.Services)), strconv.Itoa(shards))
		}
	}
	return t
}

// storedServices reads the service objects from the platform, by name.
func (e *Executor) storedServices(ctx context.Context) (map[string]objstore.Object, error) {
	l, err := e.deps.Store.List(ctx, objstore.KindService)
	if err != nil {
		return nil, err
	}
	byName := map[string]objstore.Object{}
	for _, o := range l.Objects {
		byName[o.Name] = o
	}
	return byName, nil
}

func countDrained(s catalog.Service) int {
	n := 0
	for _, t := range s.Targets {
		if t.Drained {
			n++
		}
	}
	return n
}

// showTargets lists the targets of the services in force on this host. State and
// counters are filled in only for targets that this host relays to.
func (e *Executor) showTargets() *Table {
	t := newTable("service", "target", "failure_domain", "address", "slots", "drained", "state", "in_flight", "limit",
		"connections", "attempts", "sheds", "errors", "last_reason")
	relayed := e.relayedTargets()
	for _, s := range e.deps.Catalog.Services() {
		for _, c := range s.Targets {
			row := []string{s.Name, c.ID, c.FailureDomain, c.Address, strconv.Itoa(c.Slots), formatBool(c.Drained)}
			t.addRow(append(row, targetStateCells(relayed[[2]string{s.Name, c.ID}])...)...)
		}
	}
	t.addNote("host %s relays %d of %d targets; states and counts are its own", e.deps.Members.Self().ID, len(relayed), len(t.Rows))
	return t
}

// relayedTargets returns the targets that this host relays to, by service and
// target id.
func (e *Executor) relayedTargets() map[[2]string]*RelayedTarget {
	byTarget := map[[2]string]*RelayedTarget{}
	if e.deps.Relay == nil {
		return byTarget
	}
	for _, t := range e.deps.Relay.TargetStates() {
		byTarget[[2]string{t.Service, t.ID}] = &t
	}
	return byTarget
}

// targetStateColumns is the number of cells that targetStateCells returns.
const targetStateColumns = 8

// targetStateCells returns the state columns of a target, empty for nil.
func targetStateCells(t *RelayedTarget) []string {
	if t == nil {
		return make([]string, targetStateColumns)
	}
	return []string{
		t.State, strconv.Itoa(t.InFlight), strconv.Itoa(t.Limit), strconv.Itoa(t.Connections),
		strconv.FormatInt(t.Attempts, 10), strconv.FormatInt(t.Sheds, 10), strconv.FormatInt(t.Errors, 10), string(t.LastReason),
	}
}

// showConfig lists the revision in force on each host, and whether it is the
// newest that any host has reported.
func (e *Executor) showConfig(ctx context.Context) *Table {
	t := newTable("host", "failure_domain", "state", "revision", "has_newest")
	newest := e.newestRevision()
	inForce := e.deps.Catalog.InForce(ctx, newest)
	byEra := map[uint64][]string{}
	for _, h := range e.deps.Members.Hosts() {
		reported := max(h.Revision, inForce.Revisions[h.ID])
		byEra[revision.FromOrdinal(reported).Era] = append(byEra[revision.FromOrdinal(reported).Era], h.ID)
		t.addRow(h.ID, h.FailureDomain, string(h.State), formatRevision(reported), formatBool(!slices.Contains(inForce.Missing, h.ID)))
	}
	t.addNote("%s", describeInForce(inForce))
	noteEarlierEras(t, byEra)
	if e.deps.Catalog.Stale() {
		t.addNote("host %s is cut off from platform and peers, so a newer revision may be in force elsewhere", e.deps.Members.Self().ID)
	}
	return t
}

// noteEarlierEras adds a note for each era but the newest, listing the hosts whose revision is of that era: they have not
// yet observed that the platform was restored from an older copy.
func noteEarlierEras(t *Table, byEra map[uint64][]string) {
	eras := slices.Sorted(maps.Keys(byEra))
	for _, era := range eras[:max(len(eras)-1, 0)] {
		t.addNote("the platform came back from an older copy, and is in era %d; era %d on %s", eras[len(eras)-1], era, strings.Join(byEra[era], ", "))
	}
}

// newestRevision returns the ordinal of the newest revision that any host has
// reported.
func (e *Executor) newestRevision() uint64 {
	newest := e.deps.Catalog.Revision()
	for _, h := range e.deps.Members.Hosts() {
		newest = max(newest, h.Revision)
	}
	return newest
}

// describeInForce describes on how many hosts a revision is in force, and names
// those on which it isn't.
func describeInForce(inForce catalog.InForce) string {
	text := fmt.Sprintf("revision %s is in force on %d of %d hosts", formatRevision(inForce.Revision), inForce.InForceCount, inForce.HostCount)
	if len(inForce.Missing) > 0 {
		text += ", not yet on " + strings.Join(inForce.Missing, ", ")
	}
	return text
}

// showClaim shows the record of a reservation.
func (e *Executor) showClaim(ctx context.Context, s lang.ShowClaim) (*Table, error) {
	if e.deps.Claims == nil {
		return nil, badRequest("this host keeps no reservations")
	}
	if _, err := ulid.ParseStrict(s.ID); err != nil {
		return nil, badRequest("reservation id %q: %w", s.ID, err)
	}
	c, err := e.deps.Claims.Lookup(ctx, s.ID)
	if err != nil {
		return nil, platformUnavailable(err)
	}
	t := newTable("field", "value")
	t.addRow("reservation", c.ReservationID)
	if !c.Found {
		t.addRow("phase", "none")
		t.addNote("there is no record: nothing was sent under this id, or it is past its horizon")
		return t, nil
	}
	r := c.Record
	for _, row := range [][]string{
		{"phase", string(r.Phase)}, {"service", r.Service}, {"caller", r.Caller}, {"target", r.Target},
		{"host", r.Host}, {"incarnation", formatUint(r.Incarnation)}, {"host_alive", formatBool(c.HostAlive)}, {"attempt", r.Attempt},
		{"outcome", r.Outcome}, {"granted", formatBool(r.Granted)}, {"answer", r.Answer}, {"reason", string(r.Reason)},
	} {
		t.addRow(row...)
	}
	return t, nil
}

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }

// formatNonzero returns n as text, empty for 0, which means unknown.
func formatNonzero(n uint64) string {
	if n == 0 {
		return ""
	}
	return formatUint(n)
}

// formatRevision returns the revision of an ordinal as text, empty for 0, which means unknown.
func formatRevision(ordinal uint64) string {
	if ordinal == 0 {
		return ""
	}
	return revision.FromOrdinal(ordinal).String()
}

func formatFraction(f float64) string { return strconv.FormatFloat(f, 'f', -1, 64) }

func formatBool(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
