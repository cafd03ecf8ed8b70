package member

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"rhubarbwood.example/rhubarbwood/internal/await"
	"rhubarbwood.example/rhubarbwood/internal/objstore"
)

// maxRecordWriteAttempts limits the attempts at start to write this host's
// record when another writer changes it at the same time.
const maxRecordWriteAttempts = 3

// maxRecordJoinDelay is the upper bound of the random delay after which a
// starting host reads the platform's records. By then most hosts that start
// together have found each other through the seeds, and only the holders of a
// record need the platform: without the delay, the start of 75 hosts made 150
// calls to the store.
const maxRecordJoinDelay = time.Second

// joinFromRecords waits for a random delay after the start, and then reads and
// writes the platform's records if this host keeps a record or has found no
// other host.
func (m *Members) joinFromRecords(ctx context.Context) {
	m.mu.Lock()
	wait := time.Duration(m.rng.Float64() * float64(maxRecordJoinDelay))
	m.mu.Unlock()
	if !await.Sleep(ctx, wait) || !m.usesPlatform() {
		return
	}
	m.refreshWithRetry(ctx)
	m.joinPeers(ctx)
}

// refreshWithRetry reads the records and writes the own one; it retries when
// the write conflicts with another writer.
func (m *Members) refreshWithRetry(ctx context.Context) {
	for range maxRecordWriteAttempts {
		var conflict *objstore.Conflict
		if err := m.refreshRecords(ctx); !errors.As(err, &conflict) {
			return
		}
	}
}

// usesPlatform reports whether this host reads and writes the platform's
// records: every host does if RecordHolders is 0; otherwise those whose ids
// have the RecordHolders highest hashes, and a host that knows no other.
func (m *Members) usesPlatform() bool {
	if m.cfg.RecordHolders == 0 {
		return true
	}
	hosts := m.Hosts()
	if len(hosts) < 2 {
		return true
	}
	mine := xxhash.Sum64String(m.self.ID)
	higher := 0
	for _, h := range hosts {
		if xxhash.Sum64String(h.ID) > mine {
			higher++
		}
	}
	return higher < m.cfg.RecordHolders
}

// refreshLoop refreshes the platform's records periodically. The interval grows
// with the fleet, so that the load on the platform does not.
func (m *Members) refreshLoop(ctx context.Context) {
	for await.Sleep(ctx, m.jittered(m.cfg.refreshInterval(m.hostCount()))) {
		if m.usesPlatform() {
			_ = m.refreshRecords(ctx) // logged; the next round retries
		}
	}
}

// jittered returns d times a random factor from 0.5 to 1.5.
func (m *Members) jittered(d time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return d/2 + time.Duration(m.rng.Float64()*float64(d))
}

// refreshRecords reads the records of all hosts, adds unknown hosts to the
// table, removes the records of dead hosts that this host is responsible for,
// and writes this host's record if it is missing or outdated.
func (m *Members) refreshRecords(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, m.cfg.PlatformTimeout.Std())
	defer cancel()
	listing, err := m.store.List(ctx, m.cfg.RecordKind)
	m.observePlatformCall("list", err)
	if err != nil {
		return Error.New("list members: %w", err)
	}
	var own objstore.Object
	for _, o := range listing.Objects {
		if o.Name == m.self.ID {
			own = o
			continue
		}
		m.mergeRecord(ctx, o)
	}
	m.mu.Lock()
	m.publish()
	m.mu.Unlock()
	return m.writeRecord(ctx, own)
}

// mergeRecord adds a host's record to the table, and removes the record if the
// host has been dead for long and this host is responsible for the removal.
func (m *Members) mergeRecord(ctx context.Context, o objstore.Object) {
	var h Host
	if json.Unmarshal(o.Value, &h) != nil || h.ID != o.Name || h.PeerAddress == "" {
		return // malformed, or written by another system
	}
	m.mu.Lock()
	m.table.addUnconfirmed(h, time.Now(), m.rng)
	remove := m.shouldRemoveRecord(h)
	m.mu.Unlock()
	if remove {
		m.observePlatformCall("delete", m.store.Delete(ctx, o.Kind, o.Name, o.Version))
	}
}

// shouldRemoveRecord reports whether this host is responsible for removing h's
// record: h has been dead for half of ForgetAfter, and no alive host has a
// higher hash for it. If hosts disagree on which of them that is, the second
// delete fails; the version check also protects the record of a host that has
// restarted. m.mu is held.
func (m *Members) shouldRemoveRecord(h Host) bool {
	r, known := m.table.rows[h.ID]
	if !known || r.State != Dead || r.Incarnation < h.Incarnation {
		return false
	}
	if time.Since(r.stateSince) < m.cfg.ForgetAfter.Std()/2 {
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

// writeRecord writes this host's record unless the platform has it with the
// current incarnation. current is the stored object, the zero value if there is
// none.
func (m *Members) writeRecord(ctx context.Context, current objstore.Object) error {
	var recorded Host
	if current.Version > 0 && json.Unmarshal(current.Value, &recorded) != nil {
		recorded = Host{}
	}
	self := m.ensureIncarnationAbove(recorded)
	if recorded.ID != "" {
		m.mayHaveRecord.Store(true)
	}
	if self.State != Alive || recorded.Incarnation == self.Incarnation {
		return nil
	}
	value, err := json.Marshal(self)
	if err != nil {
		return Error.New("encode member record: %w", err)
	}
	m.mayHaveRecord.Store(true) // set before the write, which may succeed without a response
	_, err = m.store.Put(ctx, m.cfg.RecordKind, self.ID, current.Version, value)
	m.observePlatformCall("put", err)
	if err != nil {
		return Error.New("write member record: %w", err)
	}
	return nil
}

// ensureIncarnationAbove raises this host's incarnation above that of its
// record in the platform, unless this process wrote the record, and returns
// this host.
func (m *Members) ensureIncarnationAbove(recorded Host) Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	sameStart := recorded.Incarnation == m.self.Incarnation && recorded.PeerAddress == m.self.PeerAddress
	if recorded.Incarnation >= m.self.Incarnation && !sameStart {
		m.raiseIncarnation(recorded)
		m.publish()
	}
	return m.self.Host
}

// removeRecord removes this host's record. If that fails, the other hosts
// detect the stop by probes and remove the record later.
func (m *Members) removeRecord(ctx context.Context) {
	if !m.mayHaveRecord.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, m.cfg.PlatformTimeout.Std())
	defer cancel()
	o, err := m.store.Get(ctx, m.cfg.RecordKind, m.self.ID)
	if errors.Is(err, objstore.ErrNotFound) {
		return
	}
	if err == nil {
		err = m.store.Delete(ctx, o.Kind, o.Name, o.Version)
	}
	m.observePlatformCall("delete", err)
}

// observePlatformCall counts a platform call and logs its failure.
func (m *Members) observePlatformCall(call string, err error) {
	m.metrics.platform.WithLabelValues(call, resultLabel(err)).Inc()
	if err != nil {
		m.log.Event(evRecordFailed).Str("call", call).Err(err).Msg("")
	}
}
