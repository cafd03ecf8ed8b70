// Package discovery keeps what a host believes of the system around it: the
// configuration in force and the targets of each service. Every belief has the
// store's revision and the time at which it was last known to be current.
package discovery

import (
	"context"
	"errors"
	"time"

	"github.com/zeebo/errs"

	"rhubarbwood.example/rhubarbwood/internal/revision"
	"rhubarbwood.example/rhubarbwood/internal/routing"
)

// Error is the class of this package's errors.
var Error = errs.Class("discovery")

// ErrHistoryGone means that the store does not know what changed since a
// revision: everything has to be read again. It has dropped it, or has come back from
// an older copy.
var ErrHistoryGone = errors.New("the store does not have the changes since that revision")

// Target is one incarnation of a server of a service, as it registered itself. An incarnation is its
// id and when it started: a target may come back under the id that it had.
type Target struct {
	ID       string
	Born     int64 // when it started, in milliseconds of Unix time; 0: it does not say, and each start has an id of its own
	Service  string
	Address  string // host:port
	Domain   string // failure domain
	Slots    int    // requests that it runs at once
	Draining bool   // leaves; it must get no new work
	// Warmup is how much longer the target stays cold, at the time of the registration.
	Warmup time.Duration
	// ColdUntil is until when the target is cold at the longest, by the clock of the state that holds it;
	// the zero time if it is warm.
	ColdUntil time.Time
}

// ConfigRead is the configuration as the store holds it.
type ConfigRead struct {
	Config   routing.Config
	Listed   bool              // all that the store holds was read: what is not found is not there
	Found    bool              // false: the store holds none, or a watch saw no change
	Revision revision.Revision // of the store, at which this was read
}

// TargetList is all registered targets.
type TargetList struct {
	Targets  []Target
	Unusable []Unusable        // registrations that name no target
	Revision revision.Revision // of the store, at which this was read
}

// Unusable is a registration that names no target to use, as another writer may leave one.
type Unusable struct {
	ID      string // empty if not even that can be read
	Problem string // what is wrong with it
}

// TargetChange is one change of the registry.
type TargetChange struct {
	Target Target // only its ID is set when it is gone
	Gone   bool
	// Problem is set with Gone if the registration is there and names no target to use.
	Problem string
}

// TargetChanges is what changed since a revision.
type TargetChanges struct {
	Changes  []TargetChange
	Revision revision.Revision // to watch from next
}

// Source reads configuration, registry and evacuations. A watch returns as soon as there is
// a change after the revision, or with nothing once wait has passed; it fails
// with ErrHistoryGone when everything has to be read again.
type Source interface {
	Config(ctx context.Context) (ConfigRead, error)
	WatchConfig(ctx context.Context, after revision.Revision, wait time.Duration) (ConfigRead, error)
	Targets(ctx context.Context) (TargetList, error)
	WatchTargets(ctx context.Context, after revision.Revision, wait time.Duration) (TargetChanges, error)
	Evacuations(ctx context.Context) (EvacuationRead, error)
	WatchEvacuations(ctx context.Context, after revision.Revision, wait time.Duration) (EvacuationChanges, error)
}
