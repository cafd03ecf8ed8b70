package api

import (
	plog "github.com/phuslu/log"

	"rhubarbwood.example/rhubarbwood/internal/event"
)

var (
	evWriteFailed = event.Define(9001, "api_write_failed", plog.WarnLevel,
		"A response could not be written to the client, most often because the client closed the connection.",
		"None if it is rare. If it is frequent, compare the timeouts of the balancer and the callers with api.read_timeout.", "request", "error")
	evServeFailed = event.Define(9002, "api_serve_failed", plog.ErrorLevel,
		"A listener stopped accepting connections.",
		"Check the error and restart the host.", "address", "error")
)
