//go:build review

// Command harness-2 runs the scripted cases of the review: gateway processes started with the commands of
// the deploy file, and stand-ins of the store, the backends and the consumers.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the scripted cases by name. A case returns how the rule was broken, empty if it held.
var cases = map[string]func(s *site, trouble bool) (broken string, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness-2 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = file.Close() }()
	rec := &record{file: file, began: time.Now()}
	s, err := newSite(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer s.end()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.note("case %s, trouble %t", name, trouble)
	broken, err := cases[name](s, trouble)
	switch {
	case err != nil:
		rec.note("not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case broken != "":
		rec.note("BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		return exitBroken
	}
	rec.note("held")
	fmt.Println("held")
	return exitHeld
}
