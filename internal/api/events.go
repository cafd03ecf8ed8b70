package api

import (
	plog "github.com/phuslu/log"

	"rhubarbwood.example/rhubarbwood/internal/event"
)

var (
	evWriteFailed = event.Define(9001, "api_write_failed", plog.WarnLevel,
		"An answer could not be written to the client, which has mostly gone away.",
		"None, unless it is frequent: then compare the timeouts of balancer and callers with api.read_timeout.", "request", "error")
	evServeFailed = event.Define(9002, "api_serve_failed", plog.ErrorLevel,
		"A listener stopped taking connections.",
		"Look at the error and restart the host.", "address", "error")
)
