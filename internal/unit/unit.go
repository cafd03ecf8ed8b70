// Package unit holds the value types of settings and service rules whose text
// form includes a unit.
package unit

import (
	"encoding/json"
	"fmt"
	"time"
)

// Duration is a time.Duration whose JSON form is a string with a unit, such as
// "250ms". A bare number is rejected, because its unit would be ambiguous.
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String returns the duration in the format of time.Duration.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalJSON writes the duration as a string with a unit.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(d.String()) }

// UnmarshalJSON reads a string with a unit.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return fmt.Errorf("duration must be a string with a unit such as \"250ms\", got %s", b)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return fmt.Errorf("duration %q: want a number with a unit such as \"250ms\"", s)
	}
	*d = Duration(v)
	return nil
}
