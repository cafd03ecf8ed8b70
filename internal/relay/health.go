package relay

import (
	"time"

	"rhubarbwood.example/rhubarbwood/internal/targetapi"
)

// Sign tells what first showed that a target is leaving.
type Sign string

const (
	signNone     Sign = ""
	signAnswer   Sign = "answer"    // it refused an attempt as draining
	signStatus   Sign = "status"    // its status said draining
	signHostList Sign = "host_list" // the platform lists it as leaving
	signListed   Sign = "listed"    // no sign of leaving: the platform lists it as live again
)

func (s Sign) known() bool {
	switch s {
	case signAnswer, signStatus, signHostList, signListed:
		return true
	}
	return false
}

// health is what a relay believes of a target's will to work. It is pure.
//
// A sign of leaving stands until the target's incarnation grows, whatever its
// status claims meanwhile: a status may lag or lie, a draining target does
// not come back without a start.
type health struct {
	incarnation uint64    // greatest seen, 0 before the first status
	seen        time.Time // when that incarnation was first seen
	state       string    // of the newest status of that incarnation
	leaving     Sign
	leftAt      time.Time
	told        Sign // what this host told of that incarnation
	drained     bool // by an operator; stands until undone
	listed      bool // the host list, read by this host, now says leaving
}

// usable reports whether the target may be given new work.
func (h *health) usable() bool { return h.leaving == signNone && !h.drained }

// leave notes a sign of leaving and reports whether it is the first one.
func (h *health) leave(now time.Time, s Sign) bool {
	if h.leaving != signNone {
		return false
	}
	h.leaving, h.leftAt = s, now
	return true
}

// change tells what a status changed.
type change uint8

const (
	unchanged change = iota
	started          // a new incarnation, or one that is still starting
	left             // first sign of leaving
)

// status takes an answer of the target's status endpoint. One of an older
// incarnation is a late one and tells nothing.
func (h *health) status(now time.Time, s targetapi.Status) change {
	if s.Incarnation < h.incarnation {
		return unchanged
	}
	fresh := s.Incarnation > h.incarnation
	first := h.incarnation == 0
	if fresh {
		h.incarnation, h.seen = s.Incarnation, now
		h.renew(first)
	}
	starting := s.State == targetapi.StateStarting && h.state != targetapi.StateStarting
	h.state = s.State
	if s.State == targetapi.StateDraining {
		if h.leave(now, signStatus) {
			return left
		}
		return unchanged
	}
	if (fresh && !first) || starting {
		return started
	}
	return unchanged
}

// renew forgets the signs of the incarnation before. With none known before,
// the signs may well be of the one just seen, and stand.
func (h *health) renew(first bool) {
	if !first {
		h.leaving, h.told = signNone, signNone
	}
}

// list takes the platform's word on the target and reports whether it turned,
// and whether that is the first sign of leaving. Only the turn to leaving is a sign: the list lags, so
// it goes on naming a target that has already started again.
func (h *health) list(now time.Time, leaving bool, lag time.Duration) (turned, first bool) {
	if h.listed == leaving {
		return false, false
	}
	h.listed = leaving
	if leaving {
		return true, h.leave(now, signHostList)
	}
	h.unlist(lag)
	return true, false
}

// unlist takes that the list says live again.
func (h *health) unlist(lag time.Duration) {
	if h.mistaken(lag) {
		h.leaving = signNone
	}
}

// heard tells what became of a sign that another host saw.
type heard string

const (
	heardFirst heard = "applied" // the first sign of leaving
	heardAgain heard = "known"
	heardLate  heard = "late" // of an older incarnation
)

// hear takes a sign that another host saw when the incarnation was the
// greatest that it had seen of the target. A greater one than here is taken
// over, so that the sign stands until that one is past.
func (h *health) hear(now time.Time, s Sign, incarnation uint64, lag time.Duration) heard {
	if incarnation != 0 && incarnation < h.incarnation {
		return heardLate
	}
	if s == signListed {
		h.unlist(lag)
		return heardAgain
	}
	if incarnation > h.incarnation {
		h.renew(h.incarnation == 0)
		h.incarnation, h.seen, h.state = incarnation, now, ""
	}
	if h.leave(now, s) {
		return heardFirst
	}
	return heardAgain
}

// forget takes back a sign of the list, on a host that reads no status.
func (h *health) forget() {
	if h.leaving == signHostList {
		h.leaving = signNone
	}
}

// mistaken reports whether the list's sign was so near to a start of the
// target that it may have meant the incarnation before.
func (h *health) mistaken(lag time.Duration) bool {
	return h.leaving == signHostList && !h.seen.IsZero() && h.leftAt.Sub(h.seen) < lag
}
