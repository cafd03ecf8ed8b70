package host

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/settings"
)

// validSettings is a settings file without problems. Tests edit it to introduce
// some.
const validSettings = `// A host of the registry.
{
  "host": "salt-lake-1",
  "failure_domain": "salt-lake",
  "addresses": {
    "callers": "127.0.0.1:8080",
    "operators": "127.0.0.1:0",
    "peers": "[::1]:7000", // trailing comma
  },
  "operators": [{"name": "on-call", "token": "sixteen-letters-or-more"}],
  "stop": {"hard_limit": "46s"},
  "platform": {"addresses": ["127.0.0.1:9000"]},
}
`

// loadSettings loads a settings file with this text. It returns the settings and
// the problems, without the file name.
func loadSettings(t *testing.T, text string) (Settings, []string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "host.jsonc")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	h, err := settings.Load(path, DefaultSettings())
	var problems settings.Problems
	if err != nil && !errors.As(err, &problems) {
		t.Fatalf("want an error of type Problems, got %v", err)
	}
	lines := make([]string, len(problems))
	for i, p := range problems {
		lines[i] = strings.TrimPrefix(p.Error(), path+":")
	}
	return h, lines
}

// loadOnFreePorts returns valid settings of a host that listens on free ports.
func loadOnFreePorts(t *testing.T) Settings {
	t.Helper()
	s, problems := loadSettings(t, strings.NewReplacer("7000", "0", "8080", "0").Replace(validSettings))
	is.New(t).Equal(len(problems), 0)
	return s
}

func TestGoodFileWithDefaults(t *testing.T) {
	is := is.New(t)
	h, problems := loadSettings(t, validSettings)
	is.Equal(len(problems), 0)
	is.Equal(h.ID, "salt-lake-1")
	is.Equal(h.Stop.HardLimit.Std(), 46*time.Second)  // from the file
	is.Equal(h.Stop.BalancerLag.Std(), 5*time.Second) // default
	is.Equal(h.Operators[0].Token.Reveal(), "sixteen-letters-or-more")
}

func TestEffectiveHidesSecrets(t *testing.T) {
	is := is.New(t)
	h, _ := loadSettings(t, validSettings)
	text, err := settings.EffectiveJSON(h)
	is.NoErr(err)
	is.True(strings.Contains(text, `"hard_limit": "46s"`))
	is.True(strings.Contains(text, `"balancer_lag": "5s"`))
	is.True(!strings.Contains(text, "sixteen"))
	is.True(!strings.Contains(fmt.Sprint(h), "sixteen"))
}

func TestEveryProblemIsReportedWithItsPlace(t *testing.T) {
	tests := map[string]struct {
		edit [][2]string
		want []string
	}{
		"unknown field": {
			[][2]string{{`"hard_limit"`, `"hard_limt"`}},
			[]string{`11:12: stop.hard_limt: unknown field; want one of balancer_lag, module_timeout, hard_limit`},
		},
		"wrong type": {
			[][2]string{{`"salt-lake-1"`, `7`}},
			[]string{`3:11: host: want a string, got 7`},
		},
		"number without a unit": {
			[][2]string{{`"46s"`, `46`}},
			[]string{`11:26: stop.hard_limit: duration must be a string with a unit such as "250ms", got 46`},
		},
		"wrong unit": {
			[][2]string{{`"46s"`, `"46 sec"`}},
			[]string{`11:26: stop.hard_limit: duration "46 sec": want a number with a unit such as "250ms"`},
		},
		"out of range": {
			[][2]string{{`"46s"`, `"46h"`}},
			[]string{`11:26: stop.hard_limit: hard_limit 46h0m0s: want 1s to 10m0s`},
		},
		"too short to end requests in flight": {
			[][2]string{{`"46s"`, `"31s"`}},
			[]string{`11:26: stop.hard_limit: stop.hard_limit 31s: want more than balancer_lag and entry.max_budget together, which is 35s`},
		},
		"missing address": {
			[][2]string{{`"callers": "127.0.0.1:8080",`, ``}},
			[]string{`5:16: addresses.callers: address is missing; want ip:port`},
		},
		"unspecified address": {
			[][2]string{{`[::1]`, `0.0.0.0`}},
			[]string{`8:14: addresses.peers: peers "0.0.0.0:7000": want an address that others can reach, not the unspecified one`},
		},
		"missing failure domain": {
			[][2]string{{`"failure_domain": "salt-lake",`, ``}},
			[]string{`2:1: failure_domain: failure_domain is missing; want a name such as "salt-lake-1"`},
		},
		"field twice": {
			[][2]string{{`"failure_domain"`, `"host"`}},
			[]string{
				`2:1: failure_domain: failure_domain is missing; want a name such as "salt-lake-1"`,
				`4:3: host: duplicate field`,
			},
		},
		"not JSON": {
			[][2]string{{`"host":`, `"host"`}},
			[]string{`3:10: not JSON with comments: invalid character '"' after object name`},
		},
		"several at once": {
			[][2]string{
				{`"salt-lake-1"`, `"Salt Lake"`}, {`127.0.0.1:8080`, `localhost`},
				{`"sixteen-letters-or-more"`, `"short"`}, {`"stop"`, `"api": {"max_body": -1}, "stopp"`},
			},
			[]string{
				`3:11: host: host "Salt Lake": want 1 to 63 lower-case letters, digits, dots or dashes`,
				`6:16: addresses.callers: callers "localhost": want ip:port, such as "10.0.0.1:8080"`,
				`10:46: operators[0].token: want at least 16 characters, got 5`,
				`11:23: api.max_body: max_body must be at least 1 byte`,
				`11:28: stopp: unknown field; want one of host, failure_domain, addresses, operators, log, stop, memory, platform, member, catalog, relay, claim, delivery, entry, api`,
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			text := validSettings
			for _, e := range test.edit {
				is.True(strings.Contains(text, e[0]))
				text = strings.Replace(text, e[0], e[1], 1)
			}
			_, problems := loadSettings(t, text)
			is.Equal(strings.Join(problems, "\n"), strings.Join(test.want, "\n"))
		})
	}
}
