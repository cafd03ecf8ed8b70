package relay

import (
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/catalog"
	"rhubarbwood.example/rhubarbwood/internal/membudget"
	"rhubarbwood.example/rhubarbwood/internal/policy"
	"rhubarbwood.example/rhubarbwood/internal/query"
	"rhubarbwood.example/rhubarbwood/internal/targetapi"
)

// target is one target of one service.
type target struct {
	service        string
	conf           catalog.Target
	sameDomain     bool // in the failure domain of this host
	transport      http.RoundTripper
	shardURL       *url.URL
	memory         *membudget.Budget // of the responses of all targets; nil: no limit
	maxAnswerBytes int64
	// maxConnections is the maximum number of connections from this relay.
	maxConnections int
	exclusive      bool         // a connection carries one attempt at a time
	openConns      atomic.Int64 // connections currently open
	openedConns    atomic.Int64 // connections opened in total
	rowsHint       atomic.Int64 // rows of the newest answer

	// Guarded by the lock of the pool.
	replica           *policy.Replica
	health            health
	stats             targetStats
	untried           bool // got no attempt since it was added or restarted
	suspect           bool // was ejected at the last update
	polling           bool // a status poll is in flight
	badAnswerLoggedAt time.Time
	removed           bool // no longer in the catalog
}

// targetStats holds the statistics of a target that operators see.
type targetStats struct {
	sheds       int64
	errors      int64
	attempts    int64
	lastFailure query.Reason // of the newest attempt without a valid answer
	latency     *latencyWindows
}

func (r *Relay) newTarget(s catalog.Service, c catalog.Target, relays int, now time.Time) *target {
	t := &target{
		service: s.Name, conf: c, maxAnswerBytes: r.cfg.MaxAnswerBytes, memory: r.memory,
		maxConnections: maxConnections(s.Rules), exclusive: s.Rules.Protocol != protocolH2C,
		sameDomain: c.FailureDomain == r.members.Self().FailureDomain,
		shardURL:   &url.URL{Scheme: "http", Host: c.Address, Path: targetapi.PathShard},
	}
	t.replica = policy.NewReplica(c.ID, t.sameDomain, c.Slots, relays, maxInFlight(s.Rules, c))
	t.stats.latency = newLatencyWindows()
	t.transport = r.newTransport(s.Rules, t)
	t.health.drained = c.Drained
	t.startRamp(now, r.cfg.ColdRamp.Std())
	return t
}

// startRamp marks a target that was added or restarted as untried and starts
// its ramp. A span of 0 disables the ramp.
func (t *target) startRamp(now time.Time, span time.Duration) {
	t.untried = true
	if span > 0 {
		t.replica.Ramp.Restart(now, span)
	}
}

// maxInFlight returns the maximum number of attempts in flight to one target.
// An HTTP/1.1 connection carries one attempt; a single h2c connection carries
// as many as the target has slots.
func maxInFlight(rules catalog.Rules, c catalog.Target) int {
	if rules.Protocol == protocolH2C {
		return max(c.Slots, maxConnections(rules))
	}
	return maxConnections(rules)
}

// maxConnections returns the maximum number of connections to one target.
func maxConnections(rules catalog.Rules) int { return max(rules.ConnectionsPerRelay, 1) }

// usable reports whether the target may get new work.
func (t *target) usable() bool { return !t.removed && t.health.usable() }

// resizeLimit gives the target a new limiter for the number of relays and
// counts the attempts in flight in it. A host that is not a relay of the
// service gets requests only from hosts with another view of the membership,
// so one attempt at a time is enough.
func (t *target) resizeLimit(now time.Time, rules catalog.Rules, relays int, assigned bool) {
	limit := 1
	if assigned {
		limit = maxInFlight(rules, t.conf)
	}
	l := policy.NewLimiter(t.conf.Slots, relays, limit)
	for range t.replica.Limiter.InFlight() {
		l.Take(now)
	}
	t.replica.Limiter = l
}

// hasCapacity reports whether an attempt may be assigned to the target now.
func (t *target) hasCapacity(now time.Time) bool {
	return t.replica.Limiter.Free(now) && !t.blockedByPoll()
}

// blockedByPoll reports whether a status poll uses the connection that a
// further attempt would need. The attempt would wait for it in the HTTP
// client, where it can no longer be assigned to another target.
func (t *target) blockedByPoll() bool {
	return t.polling && t.exclusive && t.replica.Limiter.InFlight() >= t.maxConnections-1
}

// closeIdle closes the idle connections.
func (t *target) closeIdle() {
	if tr, ok := t.transport.(*http.Transport); ok {
		tr.CloseIdleConnections()
	}
}
