package host

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
)

// Top-level fields that a reload treats specially.
const (
	fieldLog       = "log"       // applied without a restart
	fieldOperators = "operators" // compared with the tokens, which JSON redacts
)

// Reload applies the log level of newly read settings. All other fields need a
// restart; those that have changed are named in the log. err is the error of
// reading the settings; if it is not nil, it is logged and nothing is applied.
func (h *Host) Reload(s Settings, err error) {
	if err != nil {
		h.log.Event(evReloadRefused).Err(err).Msg("")
		return
	}
	h.log.SetLevel(s.Log.ParsedLevel())
	restart := strings.Join(changedFields(h.settings, s), ",")
	h.log.Event(evReloaded).Str("level", s.Log.Level).Str("restart_needed", restart).Msg("")
}

// changedFields returns the names of the top-level fields, except the log's,
// whose values differ between a and b.
func changedFields(a, b Settings) []string {
	var names []string
	before := topLevelFields(a)
	for name, value := range topLevelFields(b) {
		same := bytes.Equal(before[name], value)
		if name == fieldOperators { // JSON redacts their tokens
			same = slices.Equal(a.Operators, b.Operators)
		}
		if name != fieldLog && !same {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// topLevelFields returns the top-level fields of s as JSON, by name.
func topLevelFields(s Settings) map[string]json.RawMessage {
	var fields map[string]json.RawMessage
	text, err := json.Marshal(s)
	if err == nil {
		err = json.Unmarshal(text, &fields)
	}
	if err != nil {
		panic("encode settings as JSON: " + err.Error()) // can't fail: they were decoded from JSON
	}
	return fields
}
