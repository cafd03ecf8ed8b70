package member

import (
	"context"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/await"
	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
)

const (
	roundsPerReconnect   = 10                     // probe rounds for each attempt to reach a dead host or a seed
	pauseThresholdFactor = 4                      // a probe delayed by this multiple of its interval or timeout indicates a pause of the process
	announceFanout       = 3                      // peers that a new revision is sent to at once
	stopFanout           = 16                     // peers that the leaving or the end of this host is sent to at once
	maxJoinHosts         = 5                      // listed hosts that get a join request at start
	minAnnounceInterval  = 100 * time.Millisecond // time between two announcements
	// crossDomainProbesPerInterval is how many hosts of a failure domain, on
	// average, probe a host of another domain in each probe interval. Traffic
	// between domains is billed: when probes ignored domains, 295 hosts in five
	// domains sent 0.8 MB/s between them.
	crossDomainProbesPerInterval = 2
)

// probeLoop starts one probe in each interval, until ctx is done.
func (m *Members) probeLoop(ctx context.Context) {
	ticker := time.NewTicker(m.cfg.ProbeInterval.Std())
	defer ticker.Stop()
	last := time.Now()
	for round := 1; ; round++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		m.extendSuspicionsAfterPause(now.Sub(last))
		last = now
		m.expire(now)
		m.probeNext(ctx, round)
		m.syncIfDue(ctx, now)
	}
}

// extendSuspicionsAfterPause extends suspicions if gap, the time since the last
// probe round, shows that this process was paused.
func (m *Members) extendSuspicionsAfterPause(gap time.Duration) {
	if gap < pauseThresholdFactor*m.cfg.ProbeInterval.Std() {
		return
	}
	m.log.Event(evPaused).Dur("pause", gap).Msg("")
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.extendSuspicions(gap)
}

// expire declares hosts dead whose suspicion has timed out, and publishes the
// changes since the last probe round.
func (m *Members) expire(now time.Time) {
	n := m.hostCount()
	m.lockAndUpdateRevision()
	defer m.mu.Unlock()
	died := m.table.expire(now, m.cfg.suspicionTimeout(n), m.cfg.ForgetAfter.Std(), m.sendCount())
	for _, h := range died {
		m.metrics.deaths.Inc()
		m.log.Event(evHostDead).Str("peer", h.ID).Uint64("incarnation", h.Incarnation).Msg("")
	}
	m.publish()
	if m.table.revisionsChanged {
		m.replaceView(m.Generation())
	}
	m.updateHostGauge()
}

// updateHostGauge counts the hosts by state. m.mu is held.
func (m *Members) updateHostGauge() {
	states := map[State]int{m.self.State: 1}
	for _, r := range m.table.rows {
		states[r.State]++
	}
	for _, s := range []State{Alive, Suspect, Leaving, Dead} {
		m.metrics.hosts.WithLabelValues(string(s)).Set(float64(states[s]))
	}
}

// probeNext starts a probe of the next host, and one of a dead host or a seed
// in every roundsPerReconnect-th round, or always if there is no host to probe.
func (m *Members) probeNext(ctx context.Context, round int) {
	m.mu.Lock()
	target, found := m.table.nextProbeTarget(m.rng, m.self.FailureDomain)
	m.mu.Unlock()
	if found {
		m.goroutines.Go(func() { m.probe(ctx, target) })
	}
	if !found || round%roundsPerReconnect == 0 {
		m.goroutines.Go(func() { m.reconnect(ctx) })
	}
}

// probe probes a host, directly and then through other hosts, and marks it as a
// suspect if all fail.
func (m *Members) probe(ctx context.Context, target update) {
	began := time.Now()
	err := m.exchange(ctx, kindDirect, target.PeerAddress, &peerpb.ProbeRequest{TargetId: target.ID})
	if err == nil || m.probeIndirectly(ctx, target) || ctx.Err() != nil {
		return
	}
	if time.Since(began) > pauseThresholdFactor*m.cfg.ProbeTimeout.Std() {
		return // this process was paused in between: the failure does not show that the target is down
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.table.probeFailed(target, time.Now(), m.sendCount()) {
		m.metrics.suspicions.Inc()
		m.log.Event(evHostSuspect).Str("peer", target.ID).Msg("")
	}
	m.publish()
}

// probeIndirectly requests a few other hosts to probe the target and reports
// whether one reached it, so that the loss or overload of a single path does
// not make the target a suspect.
func (m *Members) probeIndirectly(ctx context.Context, target update) bool {
	m.mu.Lock()
	helpers := m.table.sampleNearest(m.cfg.IndirectProbes, m.rng, m.self.FailureDomain, func(r *row) bool {
		return r.State == Alive && r.ID != target.ID
	})
	m.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan bool, len(helpers))
	for _, h := range helpers {
		m.goroutines.Go(func() { answers <- m.requestIndirectProbe(ctx, h, target) })
	}
	for range helpers {
		if <-answers {
			return true
		}
	}
	return false
}

// requestIndirectProbe requests helper to probe target and reports whether it
// reached it.
func (m *Members) requestIndirectProbe(ctx context.Context, helper, target update) bool {
	req := &peerpb.ProbeRequest{TargetId: target.ID, Indirect: true}
	reply, err := m.call(ctx, 2*m.cfg.ProbeTimeout.Std(), helper.PeerAddress, req) // the helper's own probe may take a whole timeout
	return err == nil && reply.Reached
}

// reconnect probes a random dead host, or a seed whose address no listed host
// has, so that partitioned groups find each other again.
func (m *Members) reconnect(ctx context.Context) {
	m.mu.Lock()
	targets := m.reconnectTargets()
	if len(targets) == 0 {
		m.mu.Unlock()
		return
	}
	t := targets[m.rng.IntN(len(targets))]
	m.mu.Unlock()
	_ = m.exchange(ctx, kindReconnect, t.PeerAddress, &peerpb.ProbeRequest{TargetId: t.ID}) // usually fails: the host is dead
}

// reconnectTargets returns the dead hosts, and the seeds whose address no
// listed host has; of the latter only PeerAddress is set. m.mu is held.
func (m *Members) reconnectTargets() []Host {
	var targets []Host
	known := map[string]bool{m.self.PeerAddress: true}
	for _, r := range m.table.rows {
		if r.State == Dead {
			targets = append(targets, r.Host)
		}
		known[r.PeerAddress] = true
	}
	for _, s := range m.cfg.Seeds {
		if !known[s] {
			targets = append(targets, Host{PeerAddress: s})
		}
	}
	return targets
}

// Announce sends the new configuration revision of this host to a few random
// peers, without waiting for the next probe. It does not block.
func (m *Members) Announce() {
	select {
	case m.announceRequested <- struct{}{}:
	default: // the pending announcement will carry this revision, too
	}
}

// announceLoop sends the announcements that Announce requests, with at least
// minAnnounceInterval between them.
func (m *Members) announceLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.announceRequested:
		}
		for _, t := range m.sampleLive(announceFanout) {
			m.goroutines.Go(func() {
				_ = m.exchange(ctx, kindAnnounce, t.PeerAddress, &peerpb.ProbeRequest{TargetId: t.ID}) // the probes detect a host that is down
			})
		}
		if !await.Sleep(ctx, minAnnounceInterval) {
			return
		}
	}
}

// pushState sends this host's state to several peers and returns how many
// accepted it.
func (m *Members) pushState(ctx context.Context) int {
	targets := m.sampleLive(stopFanout)
	results := make(chan error, len(targets))
	for _, t := range targets {
		go func() {
			results <- m.exchange(ctx, kindAnnounce, t.PeerAddress, &peerpb.ProbeRequest{TargetId: t.ID})
		}()
	}
	accepted := 0
	for range targets {
		if <-results == nil {
			accepted++
		}
	}
	return accepted
}

// sampleLive returns up to n random hosts that are not dead, those of the own
// failure domain first.
func (m *Members) sampleLive(n int) []update {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.sampleNearest(n, m.rng, m.self.FailureDomain, func(r *row) bool { return r.State != Dead })
}
