package discovery

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/revision"
)

// lateContacts is the way of a host that starts to one that has just started, too, and to one that it comes to know later.
type lateContacts struct {
	noPeers
	from  time.Time // when the latter is known
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

// A host that starts beside a restore goes by the store once those that it knows have told what they know. What it hears later, of one that
// has not run for long either, counts all the same: that one has seen a target leave.
func TestStartingHostTakesWhatIsToldAfterItFollowsTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		older := NewState()
		older.ApplyTargets(TargetList{Targets: []Target{{ID: targetNames[0], Born: 1, Service: "s"}}, Revision: at(4)}, time.Now())
		older.ApplyChanges(TargetChanges{Changes: removalOf(targetNames[0]), Revision: at(5)}, time.Now())
		time.Sleep(establishedAge * 4 / 5)
		store := newLiveStore() // a copy that has the target
		store.era = 2
		cut := false
		state, stop := startFollower(t, hostStore{store, &cut}, lateContacts{from: time.Now().Add(300 * time.Millisecond), young: NewState(), older: older})
		defer stop()
		time.Sleep(time.Second)
		is.Equal(state.Cursor().RegistryRevision, revision.Revision{Era: 2, Number: store.number})
		is.Equal(ids(state), targetNames[1:])
	})
}
