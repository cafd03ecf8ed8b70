package cli

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestLoad(t *testing.T) {
	is := is.New(t)
	f := &fakeHost{answer: partialAnswer()}
	entry := f.serve(t)[2]
	r := run("", "load", "--entry", entry, "--workload", "guest-portal", "--rate", "200", "--duration", "100ms", "--output", "json")
	is.Equal(r.err, "")
	is.Equal(r.code, ExitOK)
	is.True(json.Valid([]byte(r.out)))
}

func TestLoadUsage(t *testing.T) {
	is := is.New(t)
	is.Equal(run("", "load").code, ExitUsage) // neither --workload nor --service
	r := run("", "load", "--experiment", "no-such")
	is.Equal(r.code, ExitUsage)
	list := run("", "load", "--list")
	is.Equal(list.code, ExitOK)
	for _, name := range strings.Fields(list.out) {
		is.True(strings.Contains(r.err, name))
	}
}
