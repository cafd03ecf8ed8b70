package event

import (
	"fmt"
	"strings"
)

// catalogueHead is the text of docs/EVENTS.md above the rows of the table.
const catalogueHead = `# Log events

Each log line is one JSON object with the fields time, level, host, event (the
number) and name, and the fields listed here. The thousands of a number
identify the package: 1 platform, 2 catalog, 3 member, 4 relay, 5 claim, 6
delivery, 8 kernel and host, 9 api. This page is the output of
` + "`rhubarbwood events`" + `; a test checks that it matches the code.

| Event | Name | Level | Fields | Meaning | What to do |
|------:|------|-------|--------|---------|------------|
`

// Catalogue returns the text of docs/EVENTS.md, which lists every event of the
// program.
func Catalogue() string {
	var b strings.Builder
	b.WriteString(catalogueHead)
	for _, e := range All() {
		fmt.Fprintf(&b, "| %d | %s | %s | %s | %s | %s |\n",
			e.Number, e.Name, e.Level, strings.Join(e.Fields, ", "), e.Meaning, e.Action)
	}
	return b.String()
}
