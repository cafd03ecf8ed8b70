// Package discovery keeps what a host believes of the system around it: the
// configuration in force and the targets of each service. Every belief has the
// store's revision and the time at which it was last known to be current.
package discovery

import (
	"context"
	"errors"
	"time"

	"github.com/zeebo/errs"

	"rhubarbwood.example/rhubarbwood/internal/routing"
)

// Error is the class of this package's errors.
var Error = errs.Class("discovery")

// ErrHistoryGone means that the store no longer knows what changed since a
// revision: everything has to be read again.
var ErrHistoryGone = errors.New("the store has dropped the changes since that revision")

// Target is one incarnation of a server of a service, as it registered itself.
type Target struct {
	ID       string // of this incarnation; a restart gets another one
	Service  string
	Address  string // host:port
	Domain   string // failure domain
	Slots    int    // requests that it runs at once
	Draining bool   // leaves; it must get no new work
	// Warmup is how much longer the target answers slowly after its start, at
	// the time of the registration.
	Warmup time.Duration
}

// ConfigRead is the configuration as the store holds it.
type ConfigRead struct {
	Config   routing.Config
	Found    bool   // false: the store holds none, or a watch saw no change
	Revision uint64 // of the store, at which this was read
}

// TargetList is all registered targets.
type TargetList struct {
	Targets  []Target
	Revision uint64 // of the store, at which this was read
}

// TargetChange is one change of the registry.
type TargetChange struct {
	Target Target // only its ID is set when it is gone
	Gone   bool
}

// TargetChanges is what changed since a revision.
type TargetChanges struct {
	Changes  []TargetChange
	Revision uint64 // to watch from next
}

// Source reads configuration and registry. A watch returns as soon as there is
// a change after the revision, or with nothing once wait has passed; it fails
// with ErrHistoryGone when everything has to be read again.
type Source interface {
	Config(ctx context.Context) (ConfigRead, error)
	WatchConfig(ctx context.Context, after uint64, wait time.Duration) (ConfigRead, error)
	Targets(ctx context.Context) (TargetList, error)
	WatchTargets(ctx context.Context, after uint64, wait time.Duration) (TargetChanges, error)
}
