package cli

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.jsonc")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

const goodHost = `{"host": "a-1", "failure_domain": "a",
"addresses": {"callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "peers": "127.0.0.1:0"},
"platform": {"addresses": ["127.0.0.1:9"]}}`

func TestCheckPrintsEffectiveSettings(t *testing.T) {
	is := is.New(t)
	file := writeFile(t, goodHost)
	r := run("", "check", file)
	is.Equal(r.err, "")
	is.Equal(r.code, ExitOK)
	is.True(strings.HasPrefix(r.out, "// "+file+"\n{"))
	is.True(strings.Contains(r.out, `"balancer_lag": "5s"`)) // a default
}

func TestCheckReportsEveryProblemOfEveryFile(t *testing.T) {
	is := is.New(t)
	good, first, second := writeFile(t, goodHost), writeFile(t, `{"hots": 1}`), writeFile(t, "{\n")
	r := run("", "check", first, good, second)
	is.Equal(r.code, ExitUsage)
	is.True(strings.Contains(r.err, first+":1:2: hots: unknown field"))
	is.True(strings.Contains(r.err, first+":1:1: failure_domain: failure_domain is missing"))
	is.True(strings.Contains(r.err, first+":1:1: addresses.callers: address is missing"))
	is.True(strings.Contains(r.err, second+":2:1: not JSON with comments"))
	is.True(strings.Contains(r.out, good))
}

func TestCheckStandins(t *testing.T) {
	is := is.New(t)
	is.Equal(run("", "check", "--kind", "platform", writeFile(t, `{"listen": "127.0.0.1:0"}`)).code, ExitOK)
	r := run("", "check", "--kind", "target", writeFile(t, `{"id": "t1", "slots": 0}`))
	is.Equal(r.code, ExitUsage)
	is.True(strings.Contains(r.err, "slots: slots 0 is below 1"))
	is.True(strings.Contains(r.err, "services: services are missing"))
}

// A command with invalid settings reports every problem and starts nothing.
func TestNothingStartsOnWrongSettings(t *testing.T) {
	for _, args := range [][]string{{"serve"}, {"standin", "platform"}, {"standin", "target"}} {
		t.Run(strings.Join(args, " "), func(t *testing.T) {
			is := is.New(t)
			r := run("", append(args, "--settings", writeFile(t, `{"one": 1, "two": 2}`))...)
			is.Equal(r.code, ExitUsage)
			is.True(strings.Contains(r.err, "one: unknown field"))
			is.True(strings.Contains(r.err, "two: unknown field"))
			is.Equal(r.out, "") // no listening address was printed
		})
	}
}
