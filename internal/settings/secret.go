package settings

import "encoding/json"

// Secret is a string that is never printed.
type Secret string

// hidden stands for a secret that is set.
const hidden = "(hidden)"

// String hides the secret.
func (s Secret) String() string {
	if s == "" {
		return ""
	}
	return hidden
}

// MarshalJSON hides the secret.
func (s Secret) MarshalJSON() ([]byte, error) { return json.Marshal(s.String()) }

// Reveal returns the secret itself.
func (s Secret) Reveal() string { return string(s) }

// Effective returns the settings as JSON, defaults filled in and secrets
// hidden.
func Effective(s any) (string, error) {
	text, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return "", Error.New("print settings: %w", err)
	}
	return string(text), nil
}
