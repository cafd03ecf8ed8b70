package relay

import (
	"context"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/policy"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

// tryOwner runs tries and receives their results: each try is either sent and
// then ended, or refused. No lock is held during the calls.
type tryOwner interface {
	// send runs the try on its assigned target until it ends.
	send(t *try) attemptResult
	// ended receives the result of a try that was sent.
	ended(t *try, a attemptResult)
	// refused reports that the try was given up before it was sent.
	refused(t *try, reason query.Reason, retryAfter time.Duration)
}

// try is one attempt on its way to a target: it is queued at its service until
// one of its candidates has a free slot.
type try struct {
	owner       tryOwner
	task        *task // of the owner; nil for reservations
	kind        policy.Try
	set         *replicaSet       // nil if the try is charged to no retry or hedge budget
	candidates  []*target         // targets that hold the shard
	peers       []*policy.Replica // used in place of the replicas of set if that is nil
	excluded    uint64            // bit i: candidates[i] must not be used
	avoidDomain string            // for a hedge: failure domain of the try that it hedges
	waiter      policy.Waiter[*try]

	// Set when a target is assigned.
	target  *target
	started time.Time
	// pausedBefore is the sum of the pool's pauses when the target was assigned.
	pausedBefore time.Duration

	// Guarded by the lock of the owner.
	cancel    context.CancelFunc
	abandoned bool
}

// maxReplicas is the maximum number of replicas of a shard, the bits of
// try.excluded. Further ones are ignored.
const maxReplicas = 64

// eligible reports whether candidate i may be used.
func (t *try) eligible(i int) bool { return t.excluded&(1<<i) == 0 && t.candidates[i].usable() }

// policyReplicas returns the policy state of the candidates.
func (t *try) policyReplicas() []*policy.Replica {
	if t.set != nil {
		return t.set.replicas
	}
	return []*policy.Replica{t.candidates[0].replica}
}

// signal converts the result of a try to a policy signal. Rejections that are
// part of normal operation count neither for nor against the target.
func (t *try) signal(a attemptResult) policy.Signal {
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
