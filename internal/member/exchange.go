package member

import (
	"context"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
)

// Probe handles a peer's probe; it implements the drpc service Members.
func (m *Members) Probe(ctx context.Context, req *peerpb.ProbeRequest) (*peerpb.ProbeReply, error) {
	if m.hasStopped() {
		return nil, Error.New("host has stopped")
	}
	sends := m.sendCount()
	if req.All {
		sends = 0 // a full list holds no recent changes, see call
	}
	m.receive(req.From, req.Updates, sends)
	m.compareDigest(req.From, req.Digest)
	reply := &peerpb.ProbeReply{}
	if req.Indirect {
		reply.Reached = m.probeFor(ctx, req.TargetId)
	}
	switch {
	case req.Join:
		reply.Self, reply.Updates = m.joinListMessage(req.From.GetFailureDomain())
	case req.All && req.Digest != m.view.Load().digest:
		reply.Self, reply.Updates = m.fullListMessage()
	default:
		reply.Self, reply.Updates = m.boundedUpdates(req.From.GetId())
	}
	view := m.view.Load()
	reply.Digest, reply.Hosts = view.digest, uint32(len(view.hosts))
	return reply, nil
}

// probeFor probes the host with this id on behalf of another host, and reports
// whether it answered.
func (m *Members) probeFor(ctx context.Context, id string) bool {
	h, known := m.Lookup(id)
	if !known {
		return false
	}
	return m.exchange(ctx, kindIndirect, h.PeerAddress, &peerpb.ProbeRequest{TargetId: id}) == nil
}

// hasStopped reports whether this host has announced its end.
func (m *Members) hasStopped() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.announcedDead
}

// boundedUpdates returns the records of this host and of a limited number of
// others, for a message to the host receiver.
func (m *Members) boundedUpdates(receiver string) (*peerpb.HostInfo, []*peerpb.HostInfo) {
	m.lockAndUpdateRevision()
	defer m.mu.Unlock()
	return toInfo(m.self), toInfos(m.table.piggybackUpdates(m.cfg.UpdatesPerMessage, receiver))
}

// fullListMessage returns the records of this host and of all others, recent deaths
// included.
func (m *Members) fullListMessage() (*peerpb.HostInfo, []*peerpb.HostInfo) {
	m.lockAndUpdateRevision()
	defer m.mu.Unlock()
	return toInfo(m.self), toInfos(m.table.fullList(time.Now().Add(-deadListedFor)))
}

// joinListMessage returns the records of this host and of those that a starting host
// of a failure domain needs.
func (m *Members) joinListMessage(domain string) (*peerpb.HostInfo, []*peerpb.HostInfo) {
	m.lockAndUpdateRevision()
	defer m.mu.Unlock()
	return toInfo(m.self), toInfos(m.table.joinList(domain))
}

// exchange is call with the probe timeout, counted as a probe of the kind. It
// fails if the host that answers is not the one addressed.
func (m *Members) exchange(ctx context.Context, kind, address string, req *peerpb.ProbeRequest) error {
	return m.exchangeWithin(ctx, m.cfg.ProbeTimeout.Std(), kind, address, req)
}

// exchangeWithin is exchange with a given timeout.
func (m *Members) exchangeWithin(ctx context.Context, timeout time.Duration, kind, address string, req *peerpb.ProbeRequest) error {
	reply, err := m.call(ctx, timeout, address, req)
	if err == nil && req.TargetId != "" && !req.Indirect && reply.Self.GetId() != req.TargetId {
		err = Error.New("host %q answered at %s, want host %q", reply.Self.GetId(), address, req.TargetId)
	}
	m.metrics.probes.WithLabelValues(kind, resultLabel(err)).Inc()
	return err
}

// call sends req with this host's updates and digest, and merges the reply.
func (m *Members) call(ctx context.Context, timeout time.Duration, address string, req *peerpb.ProbeRequest) (*peerpb.ProbeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	receiver := req.TargetId
	if req.Indirect {
		receiver = "" // the request goes to a helper, not to the target
	}
	if req.All {
		req.From, req.Updates = m.fullListMessage()
	} else {
		req.From, req.Updates = m.boundedUpdates(receiver)
	}
	req.Digest = m.view.Load().digest
	reply, err := m.prober.Probe(ctx, address, req)
	if err != nil {
		return nil, Error.New("probe %s: %w", address, err)
	}
	sends := m.sendCount()
	if req.All || req.Join {
		sends = 0 // a full list holds no recent changes: the other hosts have had these records for long
	}
	if req.Join {
		m.joinHostCount.Store(max(m.joinHostCount.Load(), reply.Hosts))
	}
	m.receive(reply.Self, reply.Updates, sends)
	m.compareDigest(reply.Self, reply.Digest)
	return reply, nil
}

// receive merges the records that a peer sent of itself and of other hosts.
// Those that change the table are passed on in sends messages.
func (m *Members) receive(from *peerpb.HostInfo, updates []*peerpb.HostInfo, sends int) {
	peer, ok := fromInfo(from)
	if !ok {
		return
	}
	m.mu.Lock()
	if peer.ID != m.self.ID {
		m.lastExchange = time.Now()
		m.table.markResponsive(peer.ID)
	}
	m.apply(peer, sends)
	for _, i := range updates {
		if u, ok := fromInfo(i); ok {
			m.apply(u, sends)
		}
	}
	m.publish()
	m.mu.Unlock()
	if peer.Revision > m.revisions.Revision() {
		m.revisions.Hint(peer.Host)
	}
}

// apply merges one update. m.mu is held.
func (m *Members) apply(u update, sends int) {
	if u.ID == m.self.ID {
		m.refute(u)
		return
	}
	m.table.apply(u, time.Now(), sends, m.rng)
}

// refute answers an untrue update about this host by a newer version of its own
// record, which the next messages carry. An incarnation above the current one
// comes from an earlier start with a faster clock, or from a second host with
// the same id. m.mu is held.
func (m *Members) refute(u update) {
	current := m.self
	switch {
	case m.announcedDead || u.Incarnation < current.Incarnation:
		return
	case u.Incarnation > current.Incarnation:
		m.raiseIncarnation(u.Host)
		return
	case u.Version < current.Version || u.Version == current.Version && u.State == current.State:
		return
	}
	m.self.Version = u.Version + 1
	m.table.viewChanged = true
	m.metrics.refutations.Inc()
	m.log.Event(evRefuted).Str("state", string(u.State)).Uint64("version", m.self.Version).Msg("")
}

// raiseIncarnation raises this host's incarnation above that of another record
// with its id. m.mu is held.
func (m *Members) raiseIncarnation(other Host) {
	m.self.Incarnation = other.Incarnation + 1
	m.self.Version = 0
	m.table.viewChanged = true
	m.log.Event(evIncarnationRaised).Uint64("incarnation", m.self.Incarnation).Str("peer_address", other.PeerAddress).Msg("")
}
