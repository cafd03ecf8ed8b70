package gateway_test

import (
	"bytes"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/query"
	"rhubarbwood.example/rhubarbwood/platform"
)

// panickingMessages panics when a target's response is about to be written.
type panickingMessages struct{ platform.Messages }

func (panickingMessages) Whole(http.Header, string, string) { panic("broken") }

// A panic in the processing of a request closed the caller's connection without an answer, and was logged at level debug
// only, so that operators did not see that every request of a route failed.
func TestPanicIsAnsweredAndLogged(t *testing.T) {
	var log bytes.Buffer
	run(t, options{messages: panickingMessages{}, log: &log}, func(t *testing.T, s *site) {
		is := is.New(t)
		a := s.get("/once/x", "r1")
		is.Equal(a.status, http.StatusBadGateway) // the request has run
		is.Equal(s.recorded.last().Reason, query.ReasonConnection)
	})
	is := is.New(t)
	is.True(strings.Contains(log.String(), `"name":"request_panicked","request":"r1","route":"once","panic":"broken"`))
	is.True(strings.Contains(log.String(), "panickingMessages")) // the stack
}
