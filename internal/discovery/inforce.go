package discovery

import (
	"cmp"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/revision"
	"rhubarbwood.example/rhubarbwood/internal/routing"
)

// ApplyConfig applies the result of a read or a watch of the configuration that was current at
// asOf, and reports whether the configuration in force changed. A lower version never replaces a
// higher one, whatever their revisions. A result of an earlier era than the cached state does not
// confirm it.
func (s *State) ApplyConfig(r ConfigRead, asOf time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Found || r.Listed {
		return s.applyConfig(r, asOf, &r.Config.Version)
	}
	return s.applyConfig(r, asOf, nil)
}

// applyConfig is ApplyConfig with the version that the store holds at the revision, nil if it is
// unknown. The caller holds the lock.
func (s *State) applyConfig(r ConfigRead, asOf time.Time, storedVersion *uint64) bool {
	if r.Revision.Era >= s.config.revision.Era {
		s.storedConfig.announced = s.storedConfig.announced || !s.config.revision.IsZero() && s.config.revision.Era < r.Revision.Era
		s.config.revision = revision.Later(s.config.revision, r.Revision)
		if asOf.After(s.config.asOf) {
			s.config.asOf = asOf
		}
		if storedVersion != nil {
			s.storedConfig.known, s.storedConfig.version = true, *storedVersion
		}
	}
	isNewer := r.Found && (s.table == nil || s.table.Config.Version < r.Config.Version)
	if isNewer {
		s.table = routing.NewTable(r.Config)
		s.configWrittenAt = r.Revision
	}
	s.refreshKeptConfig()
	if isNewer {
		s.notify()
	}
	return isNewer
}

// storedConfig is what is known about the configuration in the store, which may be older than the
// one in force.
type storedConfig struct {
	known      bool
	version    uint64 // 0: the store has none
	keptNumber uint64 // sequence number of the kept configuration in force; 0: the store holds it
	// announced is set once a restore was seen here or reported by a peer: only then is the stored
	// version sent to peers.
	announced bool
}

// storeIsBehind reports whether the store holds an older configuration than the one in force.
// Reading it then does not confirm the one in force, until the operator has written that again. The
// caller holds the lock.
func (s *State) storeIsBehind() bool {
	return s.table != nil && s.storedConfig.known && s.storedConfig.version < s.table.Config.Version
}

// refreshKeptConfig marks the configuration in force as kept while the store holds an older one.
// The caller holds the lock.
func (s *State) refreshKeptConfig() {
	switch {
	case !s.storeIsBehind():
		s.storedConfig.keptNumber = 0
	case s.storedConfig.keptNumber == 0:
		s.storedConfig.keptNumber = s.keptSeq.next()
		s.wakePolls()
	}
}

// applyConfigUpdate applies the configuration in an update from a peer, and the stored version that
// the peer reported.
func (s *State) applyConfigUpdate(u Update) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	read := ConfigRead{Revision: u.ConfigRevision}
	storedVersion := u.StoredVersion
	if u.Config != nil {
		read.Config, read.Found = *u.Config, true
		storedVersion = cmp.Or(storedVersion, &u.Config.Version)
	}
	if u.ConfigRevision.Before(s.config.revision) {
		storedVersion = nil
	}
	s.storedConfig.announced = s.storedConfig.announced || u.StoredVersion != nil
	return s.applyConfig(read, u.ConfigAsOf, storedVersion)
}
