package discovery

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// An update that a peer read before this host's last read must not make the registry state older,
// which would shorten the validity of permits.
func TestOlderUpdatesDoNotAgeTheRegistry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := NewState()
		time.Sleep(time.Hour)
		read := time.Now()
		s.ApplyTargets(TargetList{Revision: at(7)}, read)
		is.True(s.PermitsValid())
		s.ApplyChanges(TargetChanges{Revision: at(8)}, read.Add(-s.permitValidity-time.Second))
		is.True(s.PermitsValid())
	})
}
