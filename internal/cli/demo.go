package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	plog "github.com/phuslu/log"

	"rhubarbwood.example/rhubarbwood/internal/demo"
	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/standin/platformtarget"
	"rhubarbwood.example/rhubarbwood/platform"
)

const freePort = "127.0.0.1:0"

// demoStatements are run in order and printed with their results.
var demoStatements = []string{
	`search workload guest-portal "" limit 5`,
	`reserve "pressure-cooker" in reservation-desk`,
	`show hosts`,
}

type demoCommand struct {
	env       Env
	Once      bool   `long:"once" description:"Exit after the sample requests; uses free ports"`
	Callers   string `long:"callers" default:"127.0.0.1:8080" description:"Callers' address of the first host"`
	Operators string `long:"operators" default:"127.0.0.1:8081" description:"Operators' address of the first host"`
	LogLevel  string `long:"log-level" choice:"debug" choice:"info" choice:"warn" choice:"error" default:"warn" description:"Minimum level of the log"`
}

// Execute starts the site, sends it sample requests, and serves until a signal.
func (c *demoCommand) Execute([]string) error {
	options := demo.Options{Callers: c.Callers, Operators: c.Operators, Log: c.log}
	if c.Once {
		options.Callers, options.Operators = freePort, freePort
	}
	site, err := demo.Start(context.Background(), options)
	if err != nil {
		return exitErrorf(ExitFailed, "%s", err)
	}
	statementsErr := errors.Join(c.runStatements(site), c.sendGatewayRequests(site))
	if statementsErr == nil && !c.Once {
		c.printHint(site)
		<-stopSignal(c.env.Signals)
	}
	if err := site.Stop(context.Background()); err != nil {
		return exitErrorf(ExitForcedStop, "stop: %s", err)
	}
	return statementsErr
}

func (c *demoCommand) log(host string) *event.Log {
	return event.New(c.env.Err, plog.ParseLevel(c.LogLevel), host)
}

// runStatements runs the demo statements on the first host.
func (c *demoCommand) runStatements(site *demo.Site) error {
	first := site.Hosts()[0]
	fmt.Fprintf(c.env.Out, "%d hosts, %d targets and a stand-in for the platform run on loopback.\n", len(site.Hosts()), site.Targets())
	for _, statement := range demoStatements {
		fmt.Fprintf(c.env.Out, "\n> %s\n", statement)
		args := []string{"exec", "--entry", first.Callers, "--operators", first.Operators, "--token", demo.Token, statement}
		if code := Run(c.env, args); code != ExitOK {
			return exitErrorf(code, "demo statement failed: %s", statement)
		}
	}
	return nil
}

// sendGatewayRequests sends a query and a request that may run only once to the
// gateway host, as callers on the users' platform do.
func (c *demoCommand) sendGatewayRequests(site *demo.Site) error {
	for i, path := range []string{platformtarget.SiteQueryPath + "wedding", platformtarget.SiteSinglePath + "pressure-cooker"} {
		req, err := http.NewRequest(http.MethodGet, "http://"+site.Gateway()+path, nil)
		if err != nil {
			return exitErrorf(ExitFailed, "%s", err)
		}
		req.Host = platformtarget.SiteHost
		req.Header.Set(platform.HeaderRequestID, fmt.Sprintf("demo-%d", i))
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return exitErrorf(ExitUnreachable, "send request to the gateway host: %s", err)
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close() // already read to the end, or failed
		if err != nil || resp.StatusCode != http.StatusOK {
			return exitErrorf(ExitFailed, "request to the gateway host failed: status %d, error %v", resp.StatusCode, err)
		}
		fmt.Fprintf(c.env.Out, "\n> GET %s%s\n%d, %d bytes", platformtarget.SiteHost, path, resp.StatusCode, len(body))
		if parts := resp.Header.Get(platform.HeaderParts); parts != "" {
			fmt.Fprintf(c.env.Out, ", %d parts, %s missing", strings.Count(parts, ",")+1, resp.Header.Get(platform.HeaderMissing))
		}
		fmt.Fprintln(c.env.Out)
	}
	http.DefaultClient.CloseIdleConnections()
	return nil
}

func (c *demoCommand) printHint(site *demo.Site) {
	first := site.Hosts()[0]
	fmt.Fprintf(c.env.Out, `
Try it from another shell; interrupt to stop.

  export RHUBARBWOOD_ENTRY=%s RHUBARBWOOD_OPERATORS=%s RHUBARBWOOD_TOKEN=%s
  rhubarbwood exec 'show services'
  curl -H 'Host: %s' -H 'X-Request-Id: 1' http://%s%s | xxd
  curl -d '{"outage":"cut","away":"1s","age":"5s"}' http://%s/standin/restore   # the platform is restored from an older copy

`, first.Callers, first.Operators, demo.Token, platformtarget.SiteHost, site.Gateway(), platformtarget.SiteQueryPath+"wedding", site.Platform())
	fmt.Fprintln(c.env.Out, "ready")
}
