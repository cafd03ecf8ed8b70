//go:build review

// Command harness runs the scripted cases of the review: it starts the project's hosts as separate
// processes, with back ends and clients of its own, and checks one rule. It exits with 1 if the rule was
// broken, 0 if it held and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD")
		os.Exit(2)
	}
	cases := map[string]func(f *fleet, r *record, trouble bool) (broken bool, err error){
		"extra": runExtra,
		"stop":  runStop,
		"move":  runMove,
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(2)
	}
	f, err := newFleet()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-interrupted
		f.stop()
		os.Exit(2)
	}()
	r := newRecord()
	broken, err := run(f, r, os.Getenv("TROUBLE") != "0")
	f.stop()
	if err == nil {
		err = r.write(os.Args[2])
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}
