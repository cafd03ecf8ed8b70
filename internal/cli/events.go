package cli

import (
	"fmt"

	"rhubarbwood.example/rhubarbwood/internal/event"
)

type eventsCommand struct{ env Env }

// Execute prints the event catalog in the format of docs/EVENTS.md.
func (c *eventsCommand) Execute([]string) error {
	if _, err := fmt.Fprint(c.env.Out, event.Catalogue()); err != nil {
		return Error.New("print event catalog: %w", err)
	}
	return nil
}
