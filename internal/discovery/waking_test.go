package discovery

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/clock"
	"rhubarbwood.example/rhubarbwood/internal/revision"
)

func inEra(era, number uint64) revision.Revision { return revision.Revision{Era: era, Number: number} }

// A host is suspended while the tombstone of a target that left is active, and wakes after the
// tombstone's end. Its registry state is that old, so the target must not be used until the
// registry has been confirmed to still contain it.
func TestTombstoneOutlivesASuspension(t *testing.T) {
	is := is.New(t)
	c, pass := clock.NewVirtual()
	s := NewState()
	s.SetClock(c)
	left := []Target{{ID: "left", StartMillis: 3, Service: "s"}}
	s.ApplyTargets(TargetList{Targets: left, Revision: inEra(1, 5)}, c.Now())
	s.ApplyChanges(TargetChanges{Changes: removalOf("left"), Revision: inEra(1, 9)}, c.Now())
	s.ApplyTargets(TargetList{Targets: left, Revision: inEra(2, 6)}, c.Now())
	requestedAt := c.Now()
	pass(20 * time.Second)
	s.Expire(c.Now())
	is.Equal(len(s.View().Targets), 0)
	s.ApplyTargets(TargetList{Targets: left, Revision: inEra(2, 7)}, requestedAt) // an answer from before the suspension
	s.Expire(c.Now())
	is.Equal(len(s.View().Targets), 0)
	s.ApplyChanges(TargetChanges{Revision: inEra(2, 7)}, c.Now()) // the registration still exists
	s.Expire(c.Now())
	is.Equal(len(s.View().Targets), 1)
}

// The same for an evacuation that is missing in an older copy of the store.
func TestKeptEvacuationOutlivesASuspension(t *testing.T) {
	is := is.New(t)
	c, pass := clock.NewVirtual()
	s := NewState()
	s.SetClock(c)
	s.evacuations.enabled, s.evacuations.retention = true, 4*time.Second
	s.ApplyEvacuations(EvacuationRead{Domains: []string{"d"}, Revision: inEra(1, 5)}, c.Now())
	s.ApplyEvacuations(EvacuationRead{Revision: inEra(2, 3)}, c.Now())
	pass(20 * time.Second)
	s.ExpireEvacuations()
	is.Equal(s.Evacuations(), []string{"d"})
	s.ApplyEvacuationChanges(EvacuationChanges{Revision: inEra(2, 4)}, c.Now()) // not written again meanwhile
	s.ExpireEvacuations()
	is.Equal(len(s.Evacuations()), 0)
}
