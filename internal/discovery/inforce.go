package discovery

import (
	"cmp"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/revision"
	"rhubarbwood.example/rhubarbwood/internal/routing"
)

// ApplyConfig takes what was read of the configuration at a time. It reports
// whether the configuration changed. An older version never replaces a newer, whatever their revisions. What is of an
// earlier era than the belief proves nothing of its age.
func (s *State) ApplyConfig(r ConfigRead, asOf time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Found || r.Listed {
		return s.applyConfig(r, asOf, &r.Config.Version)
	}
	return s.applyConfig(r, asOf, nil)
}

// applyConfig is ApplyConfig with the version that the store holds at the revision, nil if that is not told. The caller holds
// the lock.
func (s *State) applyConfig(r ConfigRead, asOf time.Time, stored *uint64) bool {
	if r.Revision.Era >= s.config.revision.Era {
		s.stored.told = s.stored.told || !s.config.revision.IsZero() && s.config.revision.Era < r.Revision.Era
		s.config.revision = revision.Later(s.config.revision, r.Revision)
		if asOf.After(s.config.asOf) {
			s.config.asOf = asOf
		}
		if stored != nil {
			s.stored.known, s.stored.version = true, *stored
		}
	}
	isNewer := r.Found && (s.table == nil || s.table.Config.Version < r.Config.Version)
	if isNewer {
		s.table = routing.NewTable(r.Config)
		s.configWritten = r.Revision
	}
	s.refreshKeptConfig()
	if isNewer {
		s.tell()
	}
	return isNewer
}

// storedConfig is what is known of the configuration that the store holds, which may be older than the one in force.
type storedConfig struct {
	known   bool
	version uint64 // 0: the store holds none
	kept    uint64 // number of the one in force among what is kept; 0: the store holds it
	// told is set once a restore was seen or heard of: only then are peers told the version.
	told bool
}

// isBehind reports whether the store holds an older configuration than the one in force: it proves nothing of that one then,
// until the operator has written it again. The caller holds the lock.
func (s *State) isBehind() bool {
	return s.table != nil && s.stored.known && s.stored.version < s.table.Config.Version
}

// refreshKeptConfig keeps the configuration in force while the store holds an older one. The caller holds the lock.
func (s *State) refreshKeptConfig() {
	switch {
	case !s.isBehind():
		s.stored.kept = 0
	case s.stored.kept == 0:
		s.stored.kept = s.numbers.next()
		s.wakePeers()
	}
}

// applyConfigNews takes the configuration that a peer told, and the version that the store holds as far as the peer knows.
func (s *State) applyConfigNews(n News) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	read := ConfigRead{Revision: n.ConfigRevision}
	stored := n.StoredVersion
	if n.Config != nil {
		read.Config, read.Found = *n.Config, true
		stored = cmp.Or(stored, &n.Config.Version)
	}
	if n.ConfigRevision.Before(s.config.revision) {
		stored = nil
	}
	s.stored.told = s.stored.told || n.StoredVersion != nil
	return s.applyConfig(read, n.ConfigAsOf, stored)
}
