package gateway

import (
	plog "github.com/phuslu/log"

	"rhubarbwood.example/rhubarbwood/internal/event"
)

var (
	evAnswer = event.Define(11001, "request_answered", plog.InfoLevel,
		"A forwarded request ended otherwise than with a whole answer.",
		"See the reason; the target's lines around the same time tell its part.",
		"request", "route", "status", "outcome", "missing", "lacking", "took", "reason")
	evWrongTarget = event.Define(11002, "target_replaced", plog.WarnLevel,
		"Another target answered at the address of this one, which gets no more work.", "none", "target", "service", "address")
	evTargetHealth = event.Define(11003, "target_health", plog.InfoLevel,
		"A target was set aside for its answers, or taken back.", "Look at the target if it stays set aside.",
		"target", "service", "set_aside", "latency", "failures", "from")
)
