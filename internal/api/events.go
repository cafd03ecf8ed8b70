package api

import (
	plog "github.com/phuslu/log"

	"rhubarbwood.example/rhubarbwood/internal/event"
)

var (
	evWriteFailed = event.Define(9001, "api_write_failed", plog.WarnLevel,
		"An answer could not be written to the client, which has mostly gone away.",
		"none, unless it is frequent: then look at the balancer's timeouts", "request", "error")
	evServeFailed = event.Define(9002, "api_serve_failed", plog.ErrorLevel,
		"A listener stopped taking connections.",
		"look at the error; the host should be restarted", "address", "error")
)
