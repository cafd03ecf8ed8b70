// Package event writes structured log lines, each of an event with a number and
// a declared set of fields. Each package defines its events with Define in a
// file events.go; docs/EVENTS.md lists them all, and a test checks that it
// matches the code. The package is not a metrics or tracing library. Begin
// reading at Event and Log.
package event

import (
	"fmt"
	"io"
	"sort"

	plog "github.com/phuslu/log"
)

// Event is one kind of log line.
type Event struct {
	Number  int    // unique; the thousands identify the package
	Name    string // snake_case
	Level   plog.Level
	Meaning string   // what happened, for the catalogue
	Action  string   // what the person on call should do; "none" if nothing
	Fields  []string // names of the fields that each log line of the event carries
}

// registry holds the defined events by number.
var registry = map[int]Event{}

// Define registers an event. It panics if the number or the name is already in
// use, which is a programming error.
func Define(number int, name string, level plog.Level, meaning, action string, fields ...string) Event {
	e := Event{Number: number, Name: name, Level: level, Meaning: meaning, Action: action, Fields: fields}
	for _, d := range registry {
		if d.Number == number || d.Name == name {
			panic(fmt.Sprintf("event %d %s: number or name is already in use by event %d %s", number, name, d.Number, d.Name))
		}
	}
	registry[number] = e
	return e
}

// All returns the defined events, sorted by number.
func All() []Event {
	all := make([]Event, 0, len(registry))
	for _, e := range registry {
		all = append(all, e)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Number < all[j].Number })
	return all
}

// Log writes events as JSON, one per line.
type Log struct{ logger plog.Logger }

// New returns a log that writes events of at least the given level to w, with
// the host name in each line.
func New(w io.Writer, level plog.Level, host string) *Log {
	return &Log{logger: plog.Logger{
		Level:   level,
		Context: plog.NewContext(nil).Str("host", host).Value(),
		Writer:  plog.IOWriter{Writer: w},
	}}
}

// Discard returns a log that drops all events.
func Discard() *Log { return New(io.Discard, plog.PanicLevel, "") }

// SetLevel sets the minimum level of the events that are written.
func (l *Log) SetLevel(level plog.Level) { l.logger.SetLevel(level) }

// Event begins a log line of e. The calling code adds the fields that e declares
// and writes the line with Msg:
//
//	log.Event(evTargetLost).Str("target", id).Err(err).Msg("")
func (l *Log) Event(e Event) *plog.Entry {
	return l.logger.WithLevel(e.Level).Int("event", e.Number).Str("name", e.Name)
}
