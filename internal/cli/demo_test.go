package cli

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestDemoOnce(t *testing.T) {
	is := is.New(t)
	r := run("", "demo", "--once")
	is.Equal(r.err, "")
	is.Equal(r.code, ExitOK)
	is.True(strings.Contains(r.out, "coverage 12 of 12 shards: complete"))
	is.True(strings.Contains(r.out, "granted by target reservation-desk-t"))
	is.True(strings.Contains(r.out, "200, 80 bytes, 4 parts, 0 missing"))
	is.True(strings.Contains(r.out, "3 hosts as host salt-lake-1 sees them"))
}

// An address that can't be listened on ends the demo with an error and leaves
// nothing running.
func TestDemoAddressInUse(t *testing.T) {
	is := is.New(t)
	r := run("", "demo", "--callers", "127.0.0.1:bad")
	is.Equal(r.code, ExitFailed)
	is.True(strings.Contains(r.err, "listen for callers"))
}
