package discovery

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/revision"
)

// lateContacts is the Peers of a starting host: a host that has just started, too, and from a given
// time on one that is older.
type lateContacts struct {
	noPeers
	from  time.Time // when the older host becomes known
	young *State
	older *State
}

func (l lateContacts) BootstrapContacts() []string {
	if time.Now().Before(l.from) {
		return []string{"young"}
	}
	return []string{"young", "older"}
}

func (l lateContacts) FetchState(_ context.Context, address string, than Cursor) (Update, error) {
	if address == "older" {
		update, _ := l.older.updateSince(than)
		return update, nil
	}
	update, _ := l.young.updateSince(than)
	return update, nil
}

// A host that starts around a restore follows the store once its contacts have answered. A later
// reply of a host that is not established either must still be applied: that host has seen a target
// leave which the restored store contains.
func TestStartingHostAppliesLateReplies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		older := NewState()
		older.ApplyTargets(TargetList{Targets: []Target{{ID: targetNames[0], StartMillis: 1, Service: "s"}}, Revision: at(4)}, time.Now())
		older.ApplyChanges(TargetChanges{Changes: removalOf(targetNames[0]), Revision: at(5)}, time.Now())
		time.Sleep(establishedAge * 4 / 5)
		store := newLiveStore() // restored from a copy that has the target
		store.era = 2
		cut := false
		state, stop := startFollower(t, hostStore{store, &cut}, lateContacts{from: time.Now().Add(300 * time.Millisecond), young: NewState(), older: older})
		defer stop()
		time.Sleep(time.Second)
		is.Equal(state.Cursor().RegistryRevision, revision.Revision{Era: 2, Number: store.number})
		is.Equal(targetIDs(state), targetNames[1:])
	})
}
