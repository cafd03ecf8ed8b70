package discovery

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/zeebo/errs"

	"rhubarbwood.example/rhubarbwood/internal/revision"
	"rhubarbwood.example/rhubarbwood/internal/routing"
)

// Error is the class of this package's errors.
var Error = errs.Class("discovery")

// ErrHistoryGone means that the store cannot list the changes since a revision, because it has
// compacted them or was restored from an older copy. Everything has to be read again.
var ErrHistoryGone = errors.New("the store does not have the changes since that revision")

// ErrHistoryTooLong means that the changes since a revision are more than one response may hold, so that the same
// watch would fail again. It is an ErrHistoryGone: everything has to be read again.
var ErrHistoryTooLong = fmt.Errorf("the changes since that revision are too long: %w", ErrHistoryGone)

// Target is one incarnation of a server of a service, as it registered itself. An incarnation is
// identified by the target's id and its start time, as a target may restart under the same id.
type Target struct {
	ID          string
	StartMillis int64 // start time in milliseconds of Unix time; 0: not reported, and each start has an id of its own
	Service     string
	Address     string // host:port
	Domain      string // failure domain
	Version     string // of its software; empty unless Config.FollowRollouts is set
	Slots       int    // number of requests that it runs at once
	Draining    bool   // the target is leaving and must get no new work
	// Warmup is the remaining warm-up time at the time of the registration.
	Warmup time.Duration
	// ColdUntil is the latest time until which the target is cold, by the clock of the State that
	// holds it; the zero time if it is warm.
	ColdUntil time.Time
}

// ConfigRead is the configuration as the store holds it.
type ConfigRead struct {
	Config   routing.Config
	Listed   bool              // everything in the store was read: what was not found does not exist
	Found    bool              // false: the store has no configuration, or a watch saw no change
	Revision revision.Revision // of the store at the time of the read
}

// TargetList is all registered targets.
type TargetList struct {
	Targets  []Target
	Unusable []Unusable        // registrations that describe no usable target
	Revision revision.Revision // of the store at the time of the read
}

// Unusable is a registration that describes no usable target, for example one written by another
// program.
type Unusable struct {
	ID      string // empty if not even the id can be read
	Problem string // why the registration is unusable
}

// TargetChange is one change of the registry.
type TargetChange struct {
	Target Target // only its ID is set if Gone is set
	Gone   bool
	// Problem is set together with Gone if the registration exists but describes no usable target.
	Problem string
}

// TargetChanges is what changed since a revision.
type TargetChanges struct {
	Changes  []TargetChange
	Revision revision.Revision // from which the next watch starts
}

// Source reads configuration, registry, evacuations and rollout orders from the store. A watch returns as soon as
// there is a change after the revision, or without one once wait has passed. It fails with
// ErrHistoryGone if everything has to be read again.
type Source interface {
	Config(ctx context.Context) (ConfigRead, error)
	WatchConfig(ctx context.Context, after revision.Revision, wait time.Duration) (ConfigRead, error)
	Targets(ctx context.Context) (TargetList, error)
	WatchTargets(ctx context.Context, after revision.Revision, wait time.Duration) (TargetChanges, error)
	Evacuations(ctx context.Context) (EvacuationRead, error)
	WatchEvacuations(ctx context.Context, after revision.Revision, wait time.Duration) (EvacuationChanges, error)
	Rollouts(ctx context.Context) (OrderRead, error)
	WatchRollouts(ctx context.Context, after revision.Revision, wait time.Duration) (OrderChanges, error)
}
