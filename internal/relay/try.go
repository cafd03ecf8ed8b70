package relay

import (
	"context"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/policy"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

// owner is told the fate of its tries: of each either send and then ended, or
// refused. All calls come without a lock held.
type owner interface {
	// send runs the try on the target that it was given, to its end.
	send(t *try) answer
	// ended takes the end of a try that was sent.
	ended(t *try, a answer)
	// refused tells that the try was given up before it was sent.
	refused(t *try, reason query.Reason, retryAfter time.Duration)
}

// try is one attempt on its way to a target: it waits in the queue of its
// service until one of its holders has a place.
type try struct {
	owner   owner
	task    *task // of the owner, if it has any
	kind    policy.Try
	set     *replicaSet // nil: counts for no budget of extra attempts
	holders []*target
	peers   []*policy.Replica // compared with, if there is no set
	spent   uint64            // bit i: holders[i] is not to be asked
	avoid   string            // failure domain better not used, of the try that this one hedges
	waiter  policy.Waiter[*try]

	// Set when granted.
	target  *target
	started time.Time

	// Used by the owner.
	cancel    context.CancelFunc
	abandoned bool
}

// maxHolders bounds the replicas of one shard; more are not looked at.
const maxHolders = 64

// holds reports whether holder i may still be asked.
func (t *try) holds(i int) bool { return t.spent&(1<<i) == 0 && t.holders[i].usable() }

// replicas returns the policies' side of the holders.
func (t *try) replicas() []*policy.Replica {
	if t.set != nil {
		return t.set.replicas
	}
	return []*policy.Replica{t.holders[0].rep}
}

// signal translates the end of a try for the policies. A refusal that belongs
// to an orderly target speaks neither for nor against it.
func (t *try) signal(a answer) policy.Signal {
	if a.outcome == outcome.Done {
		return policy.Served
	}
	switch a.reason {
	case query.ReasonOverload:
		return policy.Shed
	case query.ReasonBudget, query.ReasonDraining, query.ReasonSnapshotNotHeld, query.ReasonUnsettled:
		return policy.Abandoned
	}
	return policy.Errored
}
