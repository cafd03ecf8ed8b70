package objectstore

import (
	"slices"
	"strings"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/platform"
)

// HostChange is one change to the platform's list of hosts.
type HostChange struct {
	platform.LiveHost
	Gone bool `json:"gone,omitempty"` // taken off the list
}

type hostChange struct {
	host platform.LiveHost
	gone bool
	at   time.Time // zero: from the start
}

// SetHost puts the host on the list, or changes its entry. The list shows it
// once the lag has passed.
func (s *Store) SetHost(h platform.LiveHost) { s.changeHost(hostChange{host: h}) }

// RemoveHost takes the host off the list. The list shows it once the lag has
// passed.
func (s *Store) RemoveHost(id string) {
	s.changeHost(hostChange{host: platform.LiveHost{ID: id}, gone: true})
}

func (s *Store) changeHost(c hostChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.at = time.Now()
	s.hosts = append(s.compactHostsLocked(), c)
}

// compactHostsLocked returns the changes without those that a later one, visible by
// now, has overtaken, so that their number does not grow with time.
func (s *Store) compactHostsLocked() []hostChange {
	asOf := time.Now().Add(-s.cfg.HostLag.Std())
	visible := map[string]int{}
	for i, c := range s.hosts {
		if !c.at.After(asOf) {
			visible[c.host.ID] = i
		}
	}
	var kept []hostChange
	for i, c := range s.hosts {
		last, seen := visible[c.host.ID]
		if !seen || i > last || (i == last && !c.gone) {
			kept = append(kept, c)
		}
	}
	return kept
}

// Hosts returns the list as callers see it: as it was one lag ago.
func (s *Store) Hosts() []platform.LiveHost {
	s.mu.Lock()
	defer s.mu.Unlock()
	asOf := time.Now().Add(-s.cfg.HostLag.Std())
	seen := map[string]platform.LiveHost{}
	for _, c := range s.hosts {
		switch {
		case c.at.After(asOf):
		case c.gone:
			delete(seen, c.host.ID)
		default:
			seen[c.host.ID] = c.host
		}
	}
	list := make([]platform.LiveHost, 0, len(seen))
	for _, h := range seen {
		list = append(list, h)
	}
	slices.SortFunc(list, func(a, b platform.LiveHost) int { return strings.Compare(a.ID, b.ID) })
	return list
}
