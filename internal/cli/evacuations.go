package cli

import (
	"context"
	"fmt"

	"rhubarbwood.example/rhubarbwood/internal/gatewayhost"
	"rhubarbwood.example/rhubarbwood/internal/objstore"
	"rhubarbwood.example/rhubarbwood/internal/settings"
)

type evacuationsCommand struct {
	env      Env
	Settings string `long:"settings" env:"RHUBARBWOOD_SETTINGS" required:"true" description:"Settings file of a gateway host; names the address of the store"`
}

// Execute lists the evacuated failure domains recorded in the store.
func (c *evacuationsCommand) Execute([]string) error {
	s, err := settings.Load(c.Settings, gatewayhost.DefaultSettings())
	if err != nil {
		return usageError(err)
	}
	return withRecords(s, func(ctx context.Context, records objstore.Records) error {
		read, err := gatewayhost.UserPlatform().Source(records).Evacuations(ctx)
		if err != nil {
			return exitErrorf(ExitFailed, "%s", err)
		}
		var rows [][]string
		for _, domain := range read.Domains {
			rows = append(rows, []string{domain})
		}
		writeTable(c.env.Out, []string{"EVACUATED FAILURE DOMAIN"}, rows)
		for _, problem := range read.Problems {
			fmt.Fprintf(c.env.Out, "evacuation entry can't be read: %s\n", problem)
		}
		if s.Discovery.EvacuateWithin <= 0 {
			fmt.Fprintln(c.env.Out, "Hosts with these settings don't read evacuations: discovery.evacuate_within is 0s.")
		}
		return nil
	})
}
