package cli

import (
	"context"
	"fmt"

	plog "github.com/phuslu/log"

	"rhubarbwood.example/rhubarbwood/internal/demo"
	"rhubarbwood.example/rhubarbwood/internal/event"
)

const freePort = "127.0.0.1:0"

// demoStatements are run and printed with their answers.
var demoStatements = []string{
	`search workload guest-portal "" limit 5`,
	`reserve "pressure-cooker" in reservation-desk`,
	`show hosts`,
}

type demoCommand struct {
	env       Env
	Once      bool   `long:"once" description:"Exit after the answers; takes free ports"`
	Callers   string `long:"callers" default:"127.0.0.1:8080" description:"Callers' address of the first host"`
	Operators string `long:"operators" default:"127.0.0.1:8081" description:"Operators' address of the first host"`
	LogLevel  string `long:"log-level" choice:"debug" choice:"info" choice:"warn" choice:"error" default:"warn" description:"Least level that is logged"`
}

// Execute runs the site, asks it, and serves until a signal.
func (c *demoCommand) Execute([]string) error {
	options := demo.Options{Callers: c.Callers, Operators: c.Operators, Log: c.log}
	if c.Once {
		options.Callers, options.Operators = freePort, freePort
	}
	site, err := demo.Start(context.Background(), options)
	if err != nil {
		return fail(ExitFailed, "%s", err)
	}
	asked := c.ask(site)
	if asked == nil && !c.Once {
		c.printHint(site)
		<-stopSignal(c.env.Signals)
	}
	if err := site.Stop(context.Background()); err != nil {
		return fail(ExitCut, "stop: %s", err)
	}
	return asked
}

func (c *demoCommand) log(host string) *event.Log {
	return event.New(c.env.Err, plog.ParseLevel(c.LogLevel), host)
}

// ask runs the statements at the first host.
func (c *demoCommand) ask(site *demo.Site) error {
	first := site.Hosts()[0]
	fmt.Fprintf(c.env.Out, "%d hosts, %d targets and a stand-in for the platform run on loopback.\n", len(site.Hosts()), site.Targets())
	for _, statement := range demoStatements {
		fmt.Fprintf(c.env.Out, "\n> %s\n", statement)
		args := []string{"exec", "--entry", first.Callers, "--operators", first.Operators, "--token", demo.Token, statement}
		if code := Run(c.env, args); code != ExitOK {
			return fail(code, "the demo's statement failed: %s", statement)
		}
	}
	return nil
}

func (c *demoCommand) printHint(site *demo.Site) {
	first := site.Hosts()[0]
	fmt.Fprintf(c.env.Out, `
Try it from another shell; interrupt to stop.

  export RHUBARBWOOD_ENTRY=%s RHUBARBWOOD_OPERATORS=%s RHUBARBWOOD_TOKEN=%s
  rhubarbwood exec 'show services'

`, first.Callers, first.Operators, demo.Token)
	fmt.Fprintln(c.env.Out, "ready")
}
