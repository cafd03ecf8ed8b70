package listen

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestAllOrNone(t *testing.T) {
	is := is.New(t)
	first, err := All(Address{"first", "127.0.0.1:0"})
	is.NoErr(err)
	defer Close(first...)
	address := first[0].Addr().String()
	_, err = All(Address{"callers", "127.0.0.1:0"}, Address{"peers", address}, Address{"metrics", "nowhere"})
	is.True(strings.Contains(err.Error(), "listen for peers"))
	is.True(strings.Contains(err.Error(), "listen for metrics"))
	Close(first...)
	again, err := All(Address{"first", address})
	is.NoErr(err)
	Close(again...)
}
