// Package cli implements the command line of the binary: the commands, their
// flags, output and exit codes. Each command parses its arguments and settings
// and calls the package that does the work; it has no logic of hosts itself.
// Begin reading at Run and newParser.
package cli

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("cli")

// Exit codes. They are part of the public interface: scripts depend on them.
const (
	ExitOK          = 0 // success
	ExitFailed      = 1 // refused or failed: the request did not run, or ran without success
	ExitUsage       = 2 // invalid command line, statement or settings; nothing was started or sent
	ExitUnreachable = 3 // no response from the host, and no request that changes state was sent
	ExitUnknown     = 4 // the outcome is unknown: the request may have run
	ExitForcedStop  = 5 // a graceful stop reached its hard limit and aborted work in progress
)

// Env is the process environment of a command: its streams and signals. Tests
// replace it.
type Env struct {
	In      io.Reader
	Out     io.Writer
	Err     io.Writer
	Signals <-chan os.Signal // SIGTERM, SIGINT and SIGHUP
}

// exitError is an error with an exit code. Its text is printed to Env.Err.
type exitError struct {
	code int
	text string
}

// Error returns the text.
func (e *exitError) Error() string { return e.text }

func exitErrorf(code int, format string, args ...any) error {
	return &exitError{code: code, text: fmt.Sprintf(format, args...)}
}

// Run runs the command named by the arguments and returns its exit code.
func Run(env Env, args []string) int {
	parser := newParser(env)
	_, err := parser.ParseArgs(args)
	var exit *exitError
	var usage *flags.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &exit):
		printError(env, exit.text)
		return exit.code
	case flags.WroteHelp(err):
		fmt.Fprintln(env.Out, err)
		return ExitOK
	case errors.As(err, &usage):
		printError(env, usage.Message)
		return ExitUsage
	}
	printError(env, err.Error())
	return ExitFailed
}

func printError(env Env, text string) {
	if text != "" {
		fmt.Fprintln(env.Err, text)
	}
}

func newParser(env Env) *flags.Parser {
	p := flags.NewNamedParser("rhubarbwood", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = "Query tier over many shards. Exit codes: 0 success, 1 refused or failed, 2 invalid usage, " +
		"statement or settings, 3 unreachable, 4 outcome unknown (may have run), 5 stop reached its hard limit."
	add := func(name, short string, command any) *flags.Command {
		c, err := p.AddCommand(name, short, short, command)
		if err != nil {
			panic(fmt.Sprintf("command %s: %s", name, err)) // an invalid struct tag
		}
		return c
	}
	add("serve", "Run a host", &serveCommand{env: env})
	add("gateway", "Run a host that forwards requests according to the configuration in the store", &gatewayCommand{env: env})
	add("check", "Validate settings files and print the effective settings", &checkCommand{env: env})
	add("demo", "Run a small site on loopback, send it sample requests, and serve until interrupted", &demoCommand{env: env})
	add("exec", "Run statements", &execCommand{env: env})
	standin := add("standin", "Run a stand-in for the platform or for a target", &struct{}{})
	addStandins(standin, env)
	add("report", "Report the outcomes of requests that gateway hosts forwarded", &reportCommand{env: env})
	add("evacuations", "List the evacuated failure domains, whose targets receive no requests", &evacuationsCommand{env: env})
	add("quarantine", "List the requests that gateway hosts have quarantined, or clear one", &quarantineCommand{env: env})
	addRollouts(p, env)
	add("plot", "Plot the error budget burn of the service-level objectives", &plotCommand{env: env})
	add("soak", "Run hosts as processes under injected faults and check their invariants", &soakCommand{env: env})
	add("load", "Generate load on hosts, or run experiments over stand-ins", &loadCommand{env: env})
	add("events", "Print the catalog of log events", &eventsCommand{env: env})
	add("version", "Print the version", &versionCommand{env: env})
	return p
}
