package lang

import (
	"encoding/json"
	"strings"
	"time"
)

// ValueKind is the form in which a value was written.
type ValueKind uint8

// Kinds of values.
const (
	Word     ValueKind = iota // bare word
	Text                      // in double quotes
	Number                    // decimal
	Duration                  // number with a unit of time
	JSON                      // in single quotes
)

// Value is the right side of an assignment.
type Value struct {
	Kind ValueKind
	Text string // without quotes
}

// Raw returns the value as JSON: durations as strings with a unit, the words
// true, false and null as themselves, other words as strings.
func (v Value) Raw() json.RawMessage {
	switch {
	case v.Kind == Number, v.Kind == JSON:
		return json.RawMessage(v.Text)
	case v.Kind == Word && isLiteral(v.Text):
		return json.RawMessage(strings.ToLower(v.Text))
	}
	b, _ := json.Marshal(v.Text) // a string always has a JSON form
	return b
}

// String returns the value as it is written in a statement.
func (v Value) String() string {
	switch v.Kind {
	case Text:
		return quote(v.Text)
	case JSON:
		return quoteJSON(v.Text)
	}
	return v.Text
}

func isLiteral(word string) bool {
	switch strings.ToLower(word) {
	case "true", "false", "null":
		return true
	}
	return false
}

// Days are read as hours and then multiplied; maxDays, before that, keeps the
// product from overflowing.
const (
	maxDays     = 100_000 * time.Hour
	hoursPerDay = 24
)

// parseDuration reads time.ParseDuration's form, and whole or decimal days
// such as "3d".
func parseDuration(s string) (time.Duration, error) {
	if days, ok := strings.CutSuffix(s, "d"); ok {
		d, err := time.ParseDuration(days + "h")
		if err != nil || d > maxDays {
			return 0, class.New("duration %q: want a number with a unit such as 250ms, 1h or 3d", s)
		}
		return d * hoursPerDay, nil
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		return 0, class.New("duration %q: want a number with a unit such as 250ms, 1h or 3d", s)
	}
	return d, nil
}
