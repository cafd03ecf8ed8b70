// Command rhubarbwood is the query tier: a host, its stand-ins, and the tools
// to ask and operate it.
package main

import (
	"os"
	"os/signal"
	"syscall"

	"rhubarbwood.example/rhubarbwood/internal/cli"
)

// pendingSignals is how many signals may wait while a command is busy.
const pendingSignals = 8

func main() {
	signals := make(chan os.Signal, pendingSignals)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	env := cli.Env{In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Signals: signals}
	os.Exit(cli.Run(env, os.Args[1:]))
}
