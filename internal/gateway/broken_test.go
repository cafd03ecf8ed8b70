package gateway_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/gateway"
	"rhubarbwood.example/rhubarbwood/internal/standin/platformtarget"
)

// logLine has the fields of a log line that the tests read.
type logLine struct {
	Event   int    `json:"event"`
	Request string `json:"request"`
	Content string `json:"content"`
	Target  string `json:"target"`
}

// eventLines returns the log lines of an event.
func eventLines(is *is.I, log *bytes.Buffer, event int) []logLine {
	is.Helper()
	var all []logLine
	for text := range bytes.Lines(log.Bytes()) {
		var l logLine
		is.NoErr(json.Unmarshal(text, &l))
		if l.Event == event {
			all = append(all, l)
		}
	}
	return all
}

const (
	eventConnectionLost = 11008
	eventUnreachable    = 11009
)

// The log lines about lost connections have a content id, by which a caller's repeated requests for
// the same thing can be told from all others.
func TestConnectionLossLinesShareContentID(t *testing.T) {
	var log bytes.Buffer
	run(t, options{log: &log, without: []gateway.Mechanism{gateway.Retries}}, func(t *testing.T, s *site) {
		is := is.New(t)
		s.faults("s0", platformtarget.Faults{Lose: 1})
		is.Equal(s.get("/one/x", "r1").status, http.StatusBadGateway)
		is.Equal(s.get("/one/x", "r2").status, http.StatusBadGateway)
		is.Equal(s.get("/one/y", "r3").status, http.StatusBadGateway)
		lines := eventLines(is, &log, eventConnectionLost)
		is.Equal(len(lines), 3)
		is.Equal(lines[0].Content, lines[1].Content)
		is.True(lines[0].Content != lines[2].Content)
		is.True(lines[0].Request != lines[1].Request)
	})
}

// An unreachable target is logged once, and again only after it was reachable.
func TestUnreachableTargetIsLoggedOnce(t *testing.T) {
	var log bytes.Buffer
	run(t, options{log: &log}, func(t *testing.T, s *site) {
		is := is.New(t)
		is.NoErr(s.servers[1].Close()) // server of the first target
		for range 20 {
			s.getConcurrently(6, "r") // concurrently, so that each target gets requests
			time.Sleep(100 * time.Millisecond)
		}
		lines := eventLines(is, &log, eventUnreachable)
		is.Equal(len(lines), 1)
		is.Equal(lines[0].Target, "s0-t0")
		s.serve("s0-t0:80", s.targets["s0-t0"])
		for range 100 {
			s.get("/one/x", "r")
			time.Sleep(100 * time.Millisecond)
		}
		is.Equal(len(eventLines(is, &log, eventUnreachable)), 1)
	})
}
