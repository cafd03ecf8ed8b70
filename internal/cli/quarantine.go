package cli

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/gatewayhost"
	"rhubarbwood.example/rhubarbwood/internal/objstore"
	"rhubarbwood.example/rhubarbwood/internal/quarantine"
	"rhubarbwood.example/rhubarbwood/internal/settings"
)

type quarantineCommand struct {
	env      Env
	Settings string `long:"settings" env:"RHUBARBWOOD_SETTINGS" required:"true" description:"Settings file of a gateway host; names the address of the store"`
	Clear    string `long:"clear" value-name:"CONTENT" description:"Forward requests of this content again, once targets have been fixed"`
}

// Execute lists the quarantined requests recorded in the store, or clears those
// with the given content.
func (c *quarantineCommand) Execute([]string) error {
	s, err := settings.Load(c.Settings, gatewayhost.DefaultSettings())
	if err != nil {
		return usageError(err)
	}
	return withRecords(s, func(ctx context.Context, records objstore.Records) error {
		store := objstore.New(records)
		if c.Clear != "" {
			return c.clear(ctx, store)
		}
		return c.list(ctx, store, s.Quarantine.Hold.Std())
	})
}

func (c *quarantineCommand) clear(ctx context.Context, store objstore.Store) error {
	cleared, err := quarantine.ClearStored(ctx, store, c.Clear)
	if err != nil {
		return exitErrorf(ExitFailed, "%s", err)
	}
	if cleared == 0 {
		return exitErrorf(ExitFailed, "no quarantined requests with content %q", c.Clear)
	}
	fmt.Fprintln(c.env.Out, "Cleared; hosts forward these requests again within about ten seconds.")
	return nil
}

func (c *quarantineCommand) list(ctx context.Context, store objstore.Store, holdDuration time.Duration) error {
	records, unreadable, err := quarantine.List(ctx, store)
	if err != nil {
		return exitErrorf(ExitFailed, "%s", err)
	}
	var rows [][]string
	for _, r := range records {
		if len(r.Strikes) == 0 {
			continue // a cleared record has no strikes
		}
		rows = append(rows, quarantineRow(r, holdDuration))
	}
	writeTable(c.env.Out, []string{"CONTENT", "CALLERS", "STRIKES", "SERVICES", "LAST", "HELD UNTIL"}, rows)
	for name, err := range unreadable {
		fmt.Fprintf(c.env.Out, "quarantine record %s can't be read: %s\n", name, err)
	}
	return nil
}

func quarantineRow(r quarantine.Record, holdDuration time.Duration) []string {
	callers, until := "one", "tried alone"
	if r.Key.OfAnyone() {
		callers = "any"
	}
	if end := r.Until(holdDuration); end.After(time.Now()) {
		until = end.UTC().Format(time.RFC3339)
	}
	last := r.Strikes[len(r.Strikes)-1]
	return []string{
		r.Key.Content(), callers, strconv.Itoa(len(r.Strikes)), strings.Join(last.Services, ","),
		last.At.UTC().Format(time.RFC3339), until,
	}
}
