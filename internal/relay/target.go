package relay

import (
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/catalog"
	"rhubarbwood.example/rhubarbwood/internal/policy"
	"rhubarbwood.example/rhubarbwood/internal/query"
	"rhubarbwood.example/rhubarbwood/internal/targetapi"
)

// target is one target of one service. Fields below the pool's lock line are
// guarded by the lock of its pool.
type target struct {
	service   string
	conf      catalog.Target
	local     bool // in this host's failure domain
	transport http.RoundTripper
	shardURL  *url.URL
	maxAnswer int64
	// connections is the most that this relay holds to the target.
	connections int
	exclusive   bool         // a connection carries one attempt at a time
	open        atomic.Int64 // connections now
	opened      atomic.Int64 // connections ever
	rowsHint    atomic.Int64 // rows of the newest answer

	// Guarded by the pool's lock.
	rep       *policy.Replica
	health    health
	stats     targetStats
	untried   bool      // got no attempt since it was first seen or started
	suspect   bool      // was set aside when last looked at
	polling   bool      // a status poll is at work
	badLogged time.Time // when a bad answer was last logged
	gone      bool      // no longer in the catalog
}

// targetStats counts for operators.
type targetStats struct {
	sheds    int64
	errors   int64
	attempts int64
	last     query.Reason // of the newest attempt without an answer
	latency  *latencies
}

func (r *Relay) newTarget(s catalog.Service, c catalog.Target, relays int, now time.Time) *target {
	t := &target{
		service: s.Name, conf: c, maxAnswer: r.cfg.MaxAnswerBytes,
		connections: connections(s.Rules), exclusive: s.Rules.Protocol != protocolH2C,
		local:    c.FailureDomain == r.members.Self().FailureDomain,
		shardURL: &url.URL{Scheme: "http", Host: c.Address, Path: targetapi.PathShard},
	}
	t.rep = policy.NewReplica(c.ID, t.local, c.Slots, relays, ceiling(s.Rules, c))
	t.stats.latency = newLatencies()
	t.transport = r.newTransport(s.Rules, t)
	t.health.drained = c.Drained
	t.warmUp(now, r.cfg.ColdRamp.Std())
	return t
}

// warmUp begins the ramp of a target that was just seen or has just started;
// with no span there is none.
func (t *target) warmUp(now time.Time, span time.Duration) {
	t.untried = true
	if span > 0 {
		t.rep.Ramp.Restart(now, span)
	}
}

// ceiling returns the most attempts in flight that the connections carry. An
// HTTP/1.1 connection carries one; one h2c connection carries as many as the
// target runs.
func ceiling(rules catalog.Rules, c catalog.Target) int {
	if rules.Protocol == protocolH2C {
		return max(c.Slots, connections(rules))
	}
	return connections(rules)
}

// connections returns the most connections to one target.
func connections(rules catalog.Rules) int { return max(rules.ConnectionsPerRelay, 1) }

// usable reports whether the target may be given new work at all.
func (t *target) usable() bool { return !t.gone && t.health.usable() }

// share gives the target a limit for another number of relays; the attempts
// in flight count under it. A host that is no relay of the service, and is
// asked only by hosts with another view, does with one connection.
func (t *target) share(now time.Time, rules catalog.Rules, relays int, own bool) {
	most := 1
	if own {
		most = ceiling(rules, t.conf)
	}
	l := policy.NewLimiter(t.conf.Slots, relays, most)
	for range t.rep.Limiter.InFlight() {
		l.Take(now)
	}
	t.rep.Limiter = l
}

// free reports whether an attempt may be given to the target now.
func (t *target) free(now time.Time) bool { return t.rep.Limiter.Free(now) && !t.crowded() }

// crowded reports whether a status poll has the connection that a further
// attempt would need. Waiting for it in the HTTP client, the attempt could
// not be given to another target.
func (t *target) crowded() bool {
	return t.polling && t.exclusive && t.rep.Limiter.InFlight() >= t.connections-1
}

// closeIdle closes the connections that carry nothing.
func (t *target) closeIdle() {
	if tr, ok := t.transport.(*http.Transport); ok {
		tr.CloseIdleConnections()
	}
}
