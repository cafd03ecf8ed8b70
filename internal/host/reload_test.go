package host

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
	plog "github.com/phuslu/log"

	"rhubarbwood.example/rhubarbwood/internal/event"
)

func TestReload(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	running, _ := loadSettings(t, validSettings)
	h := &Host{settings: running, log: event.New(&out, plog.InfoLevel, "h")}

	next, _ := loadSettings(t, validSettings)
	next.Log.Level = "debug"
	next.Operators = []Operator{{Name: "on-call", Token: "another-token-of-that-name"}}
	next.Entry.MaxRelays++
	h.Reload(next, nil)
	is.True(strings.Contains(out.String(), `"restart_needed":"entry,operators"`))
	is.True(!strings.Contains(out.String(), "another-token"))

	out.Reset()
	h.log.Event(event.Event{Level: plog.DebugLevel}).Msg("")
	is.True(out.Len() > 0) // the new level is applied

	out.Reset()
	next.Log.Level = "error"
	h.Reload(next, errors.New("bad file"))
	h.log.Event(event.Event{Level: plog.DebugLevel}).Msg("")
	is.Equal(strings.Count(out.String(), "\n"), 2) // the refusal and the debug line: the level is unchanged
}
