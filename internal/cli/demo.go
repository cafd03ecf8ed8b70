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
	asked := errors.Join(c.ask(site), c.askGateway(site))
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

// askGateway sends a query and a request that may run once to the host that
// forwards, as callers on the users' platform do.
func (c *demoCommand) askGateway(site *demo.Site) error {
	for i, path := range []string{platformtarget.SiteQuery + "wedding", platformtarget.SiteSingle + "pressure-cooker"} {
		req, err := http.NewRequest(http.MethodGet, "http://"+site.Gateway()+path, nil)
		if err != nil {
			return fail(ExitFailed, "%s", err)
		}
		req.Host = platformtarget.SiteHost
		req.Header.Set(platform.HeaderRequestID, fmt.Sprintf("demo-%d", i))
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return fail(ExitUnreachable, "forwarded request: %s", err)
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close() // read to its end or broken already
		if err != nil || resp.StatusCode != http.StatusOK {
			return fail(ExitFailed, "forwarded request: status %d, %v", resp.StatusCode, err)
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
  curl -d '{"outage":"cut","away":"1s","age":"5s"}' http://%s/standin/restore   # the platform comes back from an older copy

`, first.Callers, first.Operators, demo.Token, platformtarget.SiteHost, site.Gateway(), platformtarget.SiteQuery+"wedding", site.Platform())
	fmt.Fprintln(c.env.Out, "ready")
}
