package member

import (
	"math/rand/v2"
	"sort"
	"time"
)

// update is a host record as hosts exchange it. Version orders the updates of
// one incarnation.
type update struct {
	Host
	Version uint64
}

// row is the table's entry of one other host.
type row struct {
	update
	stateSince        time.Time // when this host recorded the current state
	unresponsiveSince time.Time // first probe that a leaving host missed since it last answered; zero if none
	sendsLeft         int       // messages that are still to carry this record as a change
	unconfirmed       bool      // read from the platform's records only; never sent to other hosts
}

// table is the membership state of the other hosts. It has no side effects: the
// caller passes time and randomness, and guards it with a lock.
type table struct {
	rows             map[string]*row
	order            []string // ids in random order, for probes and for filling messages
	nextProbe        int      // index in order of the next host to probe
	lastFilled       int      // index in order of the last host used to fill a message
	viewChanged      bool     // hosts differ from the published view
	revisionsChanged bool     // some revision differs from the published view
}

func newTable() *table { return &table{rows: map[string]*row{}} }

// severity ranks the states that hosts may report for the same version: the
// more severe one wins until the host refutes it.
func severity(s State) int {
	switch s {
	case Alive:
		return 0
	case Suspect:
		return 1
	case Leaving:
		return 2
	default:
		return 3
	}
}

// supersedes reports whether u is newer than r, or more severe at the same
// version. Within an incarnation every update supersedes an unconfirmed row.
func (u update) supersedes(r *row) bool {
	switch {
	case u.Incarnation != r.Incarnation:
		return u.Incarnation > r.Incarnation
	case r.unconfirmed:
		return true
	case u.Version != r.Version:
		return u.Version > r.Version
	default:
		return severity(u.State) > severity(r.State)
	}
}

// apply merges an update of another host, to be passed on in sends messages if
// it changes the table. The death of an unknown host is ignored, so that a
// removed host is not added again.
func (t *table) apply(u update, now time.Time, sends int, rng *rand.Rand) {
	r, known := t.rows[u.ID]
	if !known && u.State == Dead {
		return
	}
	if !known {
		t.insert(&row{update: u, stateSince: now, sendsLeft: sends}, rng)
		return
	}
	if !u.supersedes(r) {
		t.raiseRevision(r, u)
		return
	}
	if u.Incarnation == r.Incarnation {
		u.Revision = max(u.Revision, r.Revision)
	}
	*r = row{update: u, stateSince: now, sendsLeft: sends}
	t.viewChanged = true
}

// raiseRevision takes only the revision from an update that does not supersede
// the row. Within an incarnation a host's revision never decreases.
func (t *table) raiseRevision(r *row, u update) {
	if u.Incarnation == r.Incarnation && u.Revision > r.Revision {
		r.Revision = u.Revision
		t.revisionsChanged = true
	}
}

// addUnconfirmed adds a host from the platform's records. It is a suspect until
// the host itself or a peer confirms it.
func (t *table) addUnconfirmed(h Host, now time.Time, rng *rand.Rand) {
	r, known := t.rows[h.ID]
	if known && h.Incarnation <= r.Incarnation {
		return
	}
	h.State = Suspect
	fresh := row{update: update{Host: h}, stateSince: now, unconfirmed: true}
	if known {
		*r = fresh
		t.viewChanged = true
		return
	}
	t.insert(&fresh, rng)
}

// insert adds a row, at a random position of the order.
func (t *table) insert(r *row, rng *rand.Rand) {
	t.rows[r.ID] = r
	t.order = append(t.order, r.ID)
	last := len(t.order) - 1
	other := rng.IntN(len(t.order))
	t.order[last], t.order[other] = t.order[other], t.order[last]
	t.viewChanged = true
}

// probeFailed records that a host at this incarnation and version answered
// neither a direct nor an indirect probe, and reports whether it became a
// suspect.
func (t *table) probeFailed(u update, now time.Time, sends int) bool {
	r, known := t.rows[u.ID]
	if !known || r.Incarnation != u.Incarnation || r.Version != u.Version {
		return false
	}
	switch {
	case r.unconfirmed && r.State == Suspect:
		t.setState(r, Dead, now, 0)
	case r.State == Alive:
		t.setState(r, Suspect, now, sends)
		return true
	case r.State == Leaving && r.unresponsiveSince.IsZero():
		r.unresponsiveSince = now
	}
	return false
}

// markResponsive records that a message from a host was received.
func (t *table) markResponsive(id string) {
	if r, known := t.rows[id]; known {
		r.unresponsiveSince = time.Time{}
	}
}

// setState changes a row's state, to be passed on in sends messages.
func (t *table) setState(r *row, s State, now time.Time, sends int) {
	r.State, r.stateSince, r.sendsLeft = s, now, sends
	t.viewChanged = true
}

// expire declares dead the hosts whose suspicion has lasted for at least
// suspicion, returns them, and removes the hosts that have been dead for at
// least forget.
func (t *table) expire(now time.Time, suspicion, forget time.Duration, sends int) []Host {
	var died []Host
	for id, r := range t.rows {
		switch {
		case r.State == Dead && now.Sub(r.stateSince) >= forget:
			t.remove(id)
		case r.suspicionExpired(now, suspicion):
			t.setState(r, Dead, now, sends)
			died = append(died, r.Host)
		}
	}
	return died
}

// suspicionExpired reports whether a confirmed suspect, or a leaving host that
// misses probes, has not refuted that within the timeout.
func (r *row) suspicionExpired(now time.Time, suspicion time.Duration) bool {
	if r.State == Suspect && !r.unconfirmed {
		return now.Sub(r.stateSince) >= suspicion
	}
	return r.State == Leaving && !r.unresponsiveSince.IsZero() && now.Sub(r.unresponsiveSince) >= suspicion
}

// extendSuspicions extends the timeout of every suspicion by the time that this
// process was paused: it could receive no refutation then.
func (t *table) extendSuspicions(d time.Duration) {
	for _, r := range t.rows {
		if r.State == Suspect {
			r.stateSince = r.stateSince.Add(d)
		}
		if !r.unresponsiveSince.IsZero() {
			r.unresponsiveSince = r.unresponsiveSince.Add(d)
		}
	}
}

func (t *table) remove(id string) {
	delete(t.rows, id)
	for i, other := range t.order {
		if other == id {
			t.order = append(t.order[:i], t.order[i+1:]...)
			break
		}
	}
	t.viewChanged = true
}

// nextProbeTarget returns the next host to probe. Most probes go to the own
// failure domain, in rounds that visit each host in a new random order, so that
// a host waits for two rounds at most. The other probes go to random hosts of
// other domains.
func (t *table) nextProbeTarget(rng *rand.Rand, domain string) (update, bool) {
	own, others := t.countByDomain(domain)
	if rng.Float64() < crossDomainProbability(own, others) {
		picked := t.sample(1, rng, func(r *row) bool { return r.State != Dead && r.FailureDomain != domain })
		if len(picked) > 0 {
			return picked[0], true
		}
	}
	for range t.order {
		if t.nextProbe >= len(t.order) {
			t.nextProbe = 0
			t.shuffleOrder(rng)
		}
		r := t.rows[t.order[t.nextProbe]]
		t.nextProbe++
		if r.State != Dead && (r.FailureDomain == domain || own == 0) {
			return r.update, true
		}
	}
	return update{}, false
}

// countByDomain returns how many other hosts that are not dead are inside and
// outside of a failure domain.
func (t *table) countByDomain(domain string) (own, others int) {
	for _, r := range t.rows {
		switch {
		case r.State == Dead:
		case r.FailureDomain == domain:
			own++
		default:
			others++
		}
	}
	return own, others
}

// crossDomainProbability returns the fraction of a host's probes that go to
// other failure domains. It equals the fraction of the other hosts that are
// there, but is limited so that all hosts of the own domain together start no
// more than crossDomainProbesPerInterval such probes in a probe interval.
func crossDomainProbability(own, others int) float64 {
	if others == 0 {
		return 0
	}
	uniform := float64(others) / float64(own+others)
	return min(uniform, float64(crossDomainProbesPerInterval)/float64(own+1))
}

func (t *table) shuffleOrder(rng *rand.Rand) {
	rng.Shuffle(len(t.order), func(i, j int) { t.order[i], t.order[j] = t.order[j], t.order[i] })
}

// sample returns up to n hosts that satisfy ok, in table order from a random
// position.
func (t *table) sample(n int, rng *rand.Rand, ok func(*row) bool) []update {
	var picked []update
	if len(t.order) == 0 {
		return nil
	}
	start := rng.IntN(len(t.order))
	for i := range t.order {
		r := t.rows[t.order[(start+i)%len(t.order)]]
		if len(picked) < n && ok(r) {
			picked = append(picked, r.update)
		}
	}
	return picked
}

// sampleNearest is sample with the hosts of a failure domain first.
func (t *table) sampleNearest(n int, rng *rand.Rand, domain string, ok func(*row) bool) []update {
	picked := t.sample(n, rng, func(r *row) bool { return ok(r) && r.FailureDomain == domain })
	return append(picked, t.sample(n-len(picked), rng, func(r *row) bool { return ok(r) && r.FailureDomain != domain })...)
}

// hosts returns self and the other hosts that are not dead, sorted by id.
func (t *table) hosts(self Host) []Host {
	out := []Host{self}
	for _, r := range t.rows {
		if r.State != Dead {
			out = append(out, r.Host)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}
