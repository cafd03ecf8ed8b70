package lang

import (
	"encoding/json"
	"strings"
	"time"
)

// ValueKind is the syntactic kind of a value.
type ValueKind uint8

// Kinds of values.
const (
	Word     ValueKind = iota // word without quotes
	Text                      // text in double quotes
	Number                    // decimal number
	Duration                  // number with a unit of time
	JSON                      // JSON in single quotes
)

// Value is the value of an assignment or condition.
type Value struct {
	Kind ValueKind
	Text string // without its quotes
}

// RawJSON returns the value as JSON: a duration as a string with a unit, the words
// true, false and null as JSON literals, and other words as strings.
func (v Value) RawJSON() json.RawMessage {
	switch {
	case v.Kind == Number, v.Kind == JSON:
		return json.RawMessage(v.Text)
	case v.Kind == Word && isJSONLiteral(v.Text):
		return json.RawMessage(strings.ToLower(v.Text))
	}
	b, _ := json.Marshal(v.Text) // encoding a string can't fail
	return b
}

// String returns the value in the syntax of statements.
func (v Value) String() string {
	switch v.Kind {
	case Text:
		return quote(v.Text)
	case JSON:
		return quoteJSON(v.Text)
	}
	return v.Text
}

// isJSONLiteral reports whether the word is true, false or null in any case.
func isJSONLiteral(word string) bool {
	switch strings.ToLower(word) {
	case "true", "false", "null":
		return true
	}
	return false
}

// A number of days is parsed as hours and then multiplied by hoursPerDay.
// maxHoursForDays limits the value before the multiplication, so that the product
// does not overflow.
const (
	maxHoursForDays = 100_000 * time.Hour
	hoursPerDay     = 24
)

// parseDuration parses a duration in the syntax of time.ParseDuration, or a whole
// or decimal number of days such as "3d".
func parseDuration(s string) (time.Duration, error) {
	if days, ok := strings.CutSuffix(s, "d"); ok {
		d, err := time.ParseDuration(days + "h")
		if err != nil || d > maxHoursForDays {
			return 0, errorClass.New("duration %q: want a number with a unit such as 250ms, 1h or 3d", s)
		}
		return d * hoursPerDay, nil
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		return 0, errorClass.New("duration %q: want a number with a unit such as 250ms, 1h or 3d", s)
	}
	return d, nil
}
