package event

import (
	"fmt"
	"strings"
)

const catalogueHead = `# Log events

Each log line is one JSON object with the fields time, level, host, event (the
number) and name, and those listed here. The thousands of a number tell the
package: 1 platform, 2 catalog, 3 member, 4 relay, 5 claim, 6 delivery, 8
kernel and host, 9 api. This page is printed by ` + "`rhubarbwood events`" + `; a test holds it to the code.

| Event | Name | Level | Fields | Meaning | What to do |
|------:|------|-------|--------|---------|------------|
`

// Catalogue returns docs/EVENTS.md: every event of the program.
func Catalogue() string {
	var b strings.Builder
	b.WriteString(catalogueHead)
	for _, e := range All() {
		fmt.Fprintf(&b, "| %d | %s | %s | %s | %s | %s |\n",
			e.Number, e.Name, e.Level, strings.Join(e.Fields, ", "), e.Meaning, e.Action)
	}
	return b.String()
}
