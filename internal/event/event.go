// Package event writes the numbered log events. Each package defines its
// events with Define in a file events.go; docs/EVENTS.md is the catalogue of
// all of them, and a test holds the two together.
package event

import (
	"fmt"
	"io"
	"sort"

	plog "github.com/phuslu/log"
)

// Event is one kind of log line.
type Event struct {
	Number  int    // unique; the thousands tell the package
	Name    string // snake_case
	Level   plog.Level
	Meaning string   // what happened
	Action  string   // what the person on call does, "none" if nothing
	Fields  []string // names of the fields that it carries
}

var defined = map[int]Event{}

// Define adds an event to the catalogue. It panics on a number or name taken
// twice, as that is an error in the program.
func Define(number int, name string, level plog.Level, meaning, action string, fields ...string) Event {
	e := Event{Number: number, Name: name, Level: level, Meaning: meaning, Action: action, Fields: fields}
	for _, d := range defined {
		if d.Number == number || d.Name == name {
			panic(fmt.Sprintf("event %d %s: number or name already taken by %d %s", number, name, d.Number, d.Name))
		}
	}
	defined[number] = e
	return e
}

// All returns the catalogue, sorted by number.
func All() []Event {
	all := make([]Event, 0, len(defined))
	for _, e := range defined {
		all = append(all, e)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Number < all[j].Number })
	return all
}

// Log writes events as JSON lines.
type Log struct{ logger plog.Logger }

// New returns a log that writes events of at least the given level to w and
// names the host in each line.
func New(w io.Writer, level plog.Level, host string) *Log {
	return &Log{logger: plog.Logger{
		Level:   level,
		Context: plog.NewContext(nil).Str("host", host).Value(),
		Writer:  plog.IOWriter{Writer: w},
	}}
}

// Discard returns a log that writes nothing.
func Discard() *Log { return New(io.Discard, plog.PanicLevel, "") }

// SetLevel changes the least level that is written.
func (l *Log) SetLevel(level plog.Level) { l.logger.SetLevel(level) }

// Event begins a line for e. The caller adds the fields that e declares and
// ends with Msg:
//
//	log.Event(evTargetLost).Str("target", id).Err(err).Msg("")
func (l *Log) Event(e Event) *plog.Entry {
	return l.logger.WithLevel(e.Level).Int("event", e.Number).Str("name", e.Name)
}
