package cli

import (
	"flag"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/event"
)

var update = flag.Bool("update", false, "write the generated pages instead of comparing them")

const eventsPage = "../../docs/EVENTS.md"

// docs/EVENTS.md must equal the output of the events command, and every event
// must be documented. "make docs" regenerates the page.
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
		is.True(e.Meaning != "" && e.Action != "")                      // both are documented
		is.True(!strings.Contains(e.Meaning+e.Action+e.Name, "|"))      // a | would break the table
		is.True(e.Number >= 1000 && e.Number < 14000)                   // within the number ranges of the packages
		is.True(strings.ToLower(e.Name) == e.Name && len(e.Fields) < 9) // snake_case, few fields
	}
}
