package cli

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"rhubarbwood.example/rhubarbwood/gen/operate"
	"rhubarbwood.example/rhubarbwood/internal/delivery"
	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/gatewayhost"
	"rhubarbwood.example/rhubarbwood/internal/lang"
	"rhubarbwood.example/rhubarbwood/internal/objstore"
	statements "rhubarbwood.example/rhubarbwood/internal/operate"
	"rhubarbwood.example/rhubarbwood/internal/settings"
)

// reportTimeout limits the time for reading all delivery windows.
const reportTimeout = time.Minute

type reportCommand struct {
	env      Env
	Settings string `long:"settings" env:"RHUBARBWOOD_SETTINGS" required:"true" description:"Settings file of a gateway host; names the address of the store"`
	Output   string `long:"output" choice:"text" choice:"json" default:"text" description:"Output format"`
	Args     struct {
		Statement []string `positional-arg-name:"STATEMENT" description:"show answers, show coverage or show burn, with their clauses"`
	} `positional-args:"yes" required:"yes"`
}

// Execute reads the delivery records of all gateway hosts from the store and
// prints the requested report. It needs no running host.
func (c *reportCommand) Execute([]string) error {
	statement, err := lang.Parse(strings.Join(c.Args.Statement, " "))
	if err != nil {
		return exitErrorf(ExitUsage, "%s", err)
	}
	s, err := settings.Load(c.Settings, gatewayhost.DefaultSettings())
	if err != nil {
		return usageError(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	table, err := runReport(ctx, s, gatewayhost.UserPlatform(), statement)
	if err != nil {
		return exitErrorf(ExitFailed, "%s", err)
	}
	return c.print(table)
}

// runReport runs a report statement on the records in the store that the
// settings name.
func runReport(ctx context.Context, s gatewayhost.Settings, p gatewayhost.Platform, statement lang.Statement) (statements.Table, error) {
	records := objstore.NewLimitedRecords(s.Platform, p.Records(s.Platform, nil), event.Discard(), prometheus.NewRegistry())
	defer records.Close()
	read, err := p.Source(records).Config(ctx)
	if err != nil {
		return statements.Table{}, Error.New("read the configuration from the store: %w", err)
	}
	executor := statements.New(statements.Dependencies{
		Reports:    delivery.NewReporter(s.Delivery, objstore.New(records), nil, event.Discard()),
		Objectives: func() []delivery.Objective { return delivery.RouteObjectives(read.Config.Routes) },
	})
	return executor.Execute(ctx, "", statement, false)
}

func (c *reportCommand) print(t statements.Table) error {
	result := &operate.StatementResult{Columns: t.Columns, Rows: t.Rows, Message: t.Message}
	if c.Output == outputJSON {
		encoder := json.NewEncoder(c.env.Out)
		encoder.SetIndent("", "  ")
		return Error.Wrap(encoder.Encode(result))
	}
	writeResult(c.env.Out, result)
	return nil
}
