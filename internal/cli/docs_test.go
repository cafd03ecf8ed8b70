package cli

import (
	"flag"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/event"
)

var update = flag.Bool("update", false, "write the pages instead of comparing them")

const eventsPage = "../../docs/EVENTS.md"

// docs/EVENTS.md is what the command prints, and it holds every event of the
// program. "make docs" writes it.
func TestEventsPage(t *testing.T) {
	is := is.New(t)
	r := run("", "events")
	is.Equal(r.code, ExitOK)
	if *update {
		is.NoErr(os.WriteFile(eventsPage, []byte(r.out), 0o644))
	}
	page, err := os.ReadFile(eventsPage)
	is.NoErr(err)
	if string(page) != r.out {
		t.Error("docs/EVENTS.md differs from the code; run make docs")
	}
	for _, e := range event.All() {
		is.True(e.Meaning != "" && e.Action != "")                      // both are told
		is.True(!strings.Contains(e.Meaning+e.Action+e.Name, "|"))      // would break the table
		is.True(e.Number >= 1000 && e.Number < 14000)                   // of a package
		is.True(strings.ToLower(e.Name) == e.Name && len(e.Fields) < 9) // snake_case, few fields
	}
}
