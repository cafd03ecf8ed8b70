package settings

import "encoding/json"

// Secret is a string that is redacted when printed or encoded as JSON.
type Secret string

// redacted is printed in place of a secret that is not empty.
const redacted = "(hidden)"

// String returns a placeholder, or "" if the secret is empty.
func (s Secret) String() string {
	if s == "" {
		return ""
	}
	return redacted
}

// MarshalJSON encodes the placeholder that String returns.
func (s Secret) MarshalJSON() ([]byte, error) { return json.Marshal(s.String()) }

// Reveal returns the secret in clear text.
func (s Secret) Reveal() string { return string(s) }

// EffectiveJSON returns the settings s as indented JSON, with secrets redacted.
func EffectiveJSON(s any) (string, error) {
	text, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return "", Error.New("encode settings as JSON: %w", err)
	}
	return string(text), nil
}
