package host

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
)

// Top-level fields with a treatment of their own.
const (
	fieldLog       = "log" // can change while a host runs
	fieldOperators = "operators"
)

// Reload puts the log level of newly read settings in force. Everything else
// needs a restart; what differs is named in the log. err is that of reading
// the settings: with it nothing changes.
func (h *Host) Reload(s Settings, err error) {
	if err != nil {
		h.log.Event(evReloadRefused).Err(err).Msg("")
		return
	}
	h.log.SetLevel(s.Log.Plog())
	restart := strings.Join(differing(h.settings, s), ",")
	h.log.Event(evReloaded).Str("level", s.Log.Level).Str("restart_needed", restart).Msg("")
}

// differing returns the top-level fields, but for the log, whose values are
// not the same.
func differing(a, b Settings) []string {
	var names []string
	before := topLevel(a)
	for name, value := range topLevel(b) {
		same := bytes.Equal(before[name], value)
		if name == fieldOperators { // their tokens are hidden in JSON
			same = slices.Equal(a.Operators, b.Operators)
		}
		if name != fieldLog && !same {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func topLevel(s Settings) map[string]json.RawMessage {
	var fields map[string]json.RawMessage
	text, err := json.Marshal(s)
	if err == nil {
		err = json.Unmarshal(text, &fields)
	}
	if err != nil {
		panic("settings have no JSON form: " + err.Error()) // they came from one
	}
	return fields
}
