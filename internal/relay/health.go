package relay

import (
	"time"

	"rhubarbwood.example/rhubarbwood/internal/targetapi"
)

// Sign is the kind of the first observation that a target is leaving.
type Sign string

const (
	signNone     Sign = ""
	signAnswer   Sign = "answer"    // the target rejected an attempt as draining
	signStatus   Sign = "status"    // the status of the target is draining
	signHostList Sign = "host_list" // the platform lists the target as leaving
	signRelisted Sign = "listed"    // retracts a host list sign: the platform lists the target as live again
)

func (s Sign) valid() bool {
	switch s {
	case signAnswer, signStatus, signHostList, signRelisted:
		return true
	}
	return false
}

// health is the availability of one target as this relay observed it. It does
// no I/O and reads no clock.
//
// A sign of leaving stays in force until the incarnation of the target
// increases, whatever its status reports meanwhile: a status may be late or
// wrong, and a draining target does not resume work without a restart.
type health struct {
	incarnation       uint64    // greatest observed; 0 before the first status
	incarnationSeenAt time.Time // when that incarnation was first observed
	state             string    // from the newest status of that incarnation
	leaving           Sign
	leavingSince      time.Time // when leaving was set
	announced         Sign      // sign that this host announced for that incarnation
	drained           bool      // by an operator, until undone
	listedLeaving     bool      // the last host list that this host read lists the target as leaving
}

// usable reports whether the target may get new work.
func (h *health) usable() bool { return h.leaving == signNone && !h.drained }

// markLeaving records a sign of leaving and reports whether it is the first
// one.
func (h *health) markLeaving(now time.Time, s Sign) bool {
	if h.leaving != signNone {
		return false
	}
	h.leaving, h.leavingSince = s, now
	return true
}

// statusChange is the effect of a status on the health.
type statusChange uint8

const (
	statusUnchanged statusChange = iota
	statusStarted                // a further incarnation, or the state has become starting
	statusLeaving                // first sign of leaving
)

// applyStatus applies a response of the status endpoint. A status of an older
// incarnation arrived late and is ignored.
func (h *health) applyStatus(now time.Time, s targetapi.Status) statusChange {
	if s.Incarnation < h.incarnation {
		return statusUnchanged
	}
	fresh := s.Incarnation > h.incarnation
	first := h.incarnation == 0
	if fresh {
		h.incarnation, h.incarnationSeenAt = s.Incarnation, now
		h.resetSigns(first)
	}
	starting := s.State == targetapi.StateStarting && h.state != targetapi.StateStarting
	h.state = s.State
	if s.State == targetapi.StateDraining {
		if h.markLeaving(now, signStatus) {
			return statusLeaving
		}
		return statusUnchanged
	}
	if (fresh && !first) || starting {
		return statusStarted
	}
	return statusUnchanged
}

// resetSigns clears the signs of the previous incarnation. If no incarnation
// was known before, the signs may be those of the current one and are kept.
func (h *health) resetSigns(first bool) {
	if !first {
		h.leaving, h.announced = signNone, signNone
	}
}

// applyListing applies the state of the target in the host list. changed
// reports whether that differs from the previous listing, first whether it is
// the first sign of leaving. Only a change to leaving counts as a sign: the
// list lags and may still list a target as leaving after it has restarted.
func (h *health) applyListing(now time.Time, leaving bool, lag time.Duration) (changed, first bool) {
	if h.listedLeaving == leaving {
		return false, false
	}
	h.listedLeaving = leaving
	if leaving {
		return true, h.markLeaving(now, signHostList)
	}
	h.retractListing(lag)
	return true, false
}

// retractListing handles that the host list lists the target as live again.
func (h *health) retractListing(lag time.Duration) {
	if h.listSignAmbiguous(lag) {
		h.leaving = signNone
	}
}

// signResult is the effect of a sign received from another host. The values
// are metric labels.
type signResult string

const (
	resultApplied signResult = "applied" // the first sign of leaving
	resultKnown   signResult = "known"
	resultLate    signResult = "late" // of an older incarnation
)

// applyRemoteSign applies a sign from another host. incarnation is the
// greatest one that the host had observed of the target, 0 if none. If it is
// greater than the local one it replaces it, so that the sign stays in force
// until the target starts again.
func (h *health) applyRemoteSign(now time.Time, s Sign, incarnation uint64, lag time.Duration) signResult {
	if incarnation != 0 && incarnation < h.incarnation {
		return resultLate
	}
	if s == signRelisted {
		h.retractListing(lag)
		return resultKnown
	}
	if incarnation > h.incarnation {
		h.resetSigns(h.incarnation == 0)
		h.incarnation, h.incarnationSeenAt, h.state = incarnation, now, ""
	}
	if h.markLeaving(now, s) {
		return resultApplied
	}
	return resultKnown
}

// clearListSign clears a sign of the host list. Hosts that poll no status of
// the target use it, as they do not see its incarnation increase.
func (h *health) clearListSign() {
	if h.leaving == signHostList {
		h.leaving = signNone
	}
}

// listSignAmbiguous reports whether the target was listed as leaving so soon
// after a start that the listing may refer to the previous incarnation.
func (h *health) listSignAmbiguous(lag time.Duration) bool {
	return h.leaving == signHostList && !h.incarnationSeenAt.IsZero() && h.leavingSince.Sub(h.incarnationSeenAt) < lag
}
