// Command rhubarbwood runs the hosts of the query tier and the stand-ins for
// the platform and targets, and has the tools to query and operate them. The
// commands are in internal/cli.
package main

import (
	"os"
	"os/signal"
	"syscall"

	"rhubarbwood.example/rhubarbwood/internal/cli"
)

// pendingSignals is the capacity of the signal channel: signals received while
// a command is busy are kept up to this number.
const pendingSignals = 8

func main() {
	signals := make(chan os.Signal, pendingSignals)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	env := cli.Env{In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Signals: signals}
	os.Exit(cli.Run(env, os.Args[1:]))
}
