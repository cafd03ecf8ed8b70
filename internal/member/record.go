package member

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
	"rhubarbwood.example/rhubarbwood/internal/platform"
)

// joinWrites bounds the writes of the own record at start when others race.
const joinWrites = 3

// join reads the platform's records, writes this host's, and asks a few hosts
// and the seeds for the whole list.
func (m *Members) join(ctx context.Context) {
	for range joinWrites {
		var conflict *platform.Conflict
		if err := m.refresh(ctx); !errors.As(err, &conflict) {
			break
		}
	}
	var addresses []string
	for _, h := range m.live(joinFrom) {
		addresses = append(addresses, h.Peer)
	}
	m.mu.Lock()
	for _, h := range m.lost() {
		addresses = append(addresses, h.Peer)
	}
	m.mu.Unlock()
	done := make(chan struct{}, len(addresses))
	for _, a := range addresses {
		go func() {
			_ = m.exchange(ctx, kindJoin, a, &peerpb.ProbeRequest{All: true}) // alone if none answers
			done <- struct{}{}
		}()
	}
	for range addresses {
		<-done
	}
}

// refreshLoop reads the platform's records now and then. The time between
// grows with the fleet, so that the platform's load does not.
func (m *Members) refreshLoop(ctx context.Context) {
	for sleep(ctx, m.jittered(m.cfg.refresh(m.size()))) {
		_ = m.refresh(ctx) // logged; tried again
	}
}

// jittered returns d times a random factor from 0.5 to 1.5.
func (m *Members) jittered(d time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return d/2 + time.Duration(m.rng.Float64()*float64(d))
}

// refresh reads the records of all hosts, takes in those not known, writes
// this host's if it is missing or old, and removes some of dead hosts.
func (m *Members) refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, m.cfg.PlatformTimeout.Std())
	defer cancel()
	listing, err := m.store.List(ctx, platform.KindMember)
	m.report("list", err)
	if err != nil {
		return Error.New("list members: %w", err)
	}
	var own platform.Object
	for _, o := range listing.Objects {
		if o.Name == m.self.ID {
			own = o
			continue
		}
		m.takeRecord(ctx, o)
	}
	m.mu.Lock()
	m.publish()
	m.mu.Unlock()
	return m.writeRecord(ctx, own)
}

func (m *Members) takeRecord(ctx context.Context, o platform.Object) {
	var h Host
	if json.Unmarshal(o.Value, &h) != nil || h.ID != o.Name || h.Peer == "" {
		return // not written by this system
	}
	m.mu.Lock()
	m.table.learn(h, time.Now(), m.rng)
	remove := m.removes(h)
	m.mu.Unlock()
	if remove {
		m.report("delete", m.store.Delete(ctx, o.Kind, o.Name, o.Version))
	}
}

// removes reports whether it falls to this host to remove the record of h: it
// has long been dead, and no live host has a higher hash for it. Hosts that
// differ on this lose a call; the version keeps a restarted host's record.
// m.mu is held.
func (m *Members) removes(h Host) bool {
	r, known := m.table.rows[h.ID]
	if !known || r.State != Dead || r.Incarnation < h.Incarnation {
		return false
	}
	if time.Since(r.since) < m.cfg.ForgetAfter.Std()/2 {
		return false
	}
	mine := xxhash.Sum64String(h.ID + "/" + m.self.ID)
	for id, other := range m.table.rows {
		if other.State == Alive && xxhash.Sum64String(h.ID+"/"+id) > mine {
			return false
		}
	}
	return true
}

// writeRecord writes this host's record unless own, which stands, is current.
func (m *Members) writeRecord(ctx context.Context, own platform.Object) error {
	var stands Host
	if own.Version > 0 && json.Unmarshal(own.Value, &stands) != nil {
		stands = Host{}
	}
	m.mu.Lock()
	if stands.Incarnation > m.self.Incarnation || stands.Incarnation == m.self.Incarnation && stands.Peer != m.self.Peer {
		m.raise(stands)
		m.publish()
	}
	self := m.self.Host
	m.mu.Unlock()
	if self.State != Alive || stands.Incarnation == self.Incarnation {
		return nil
	}
	value, err := json.Marshal(self)
	if err != nil {
		return Error.New("encode member record: %w", err)
	}
	_, err = m.store.Put(ctx, platform.KindMember, self.ID, own.Version, value)
	m.report("put", err)
	if err != nil {
		return Error.New("write member record: %w", err)
	}
	return nil
}

// removeRecord removes this host's record. If it fails, the others find out
// by probes and remove it later.
func (m *Members) removeRecord(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, m.cfg.PlatformTimeout.Std())
	defer cancel()
	o, err := m.store.Get(ctx, platform.KindMember, m.self.ID)
	if errors.Is(err, platform.ErrNotFound) {
		return
	}
	if err == nil {
		err = m.store.Delete(ctx, o.Kind, o.Name, o.Version)
	}
	m.report("delete", err)
}

func (m *Members) report(call string, err error) {
	m.metrics.platform.WithLabelValues(call, result(err)).Inc()
	if err != nil {
		m.log.Event(evPlatform).Str("call", call).Err(err).Msg("")
	}
}
