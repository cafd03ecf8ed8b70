package main

import (
	"fmt"
	"slices"
	"strings"
)

// report is the verdict on a run.
type report struct {
	red    []string // failures that are not known
	known  []string // failures that are
	passes []string // tests of the list that passed or didn't run
}

// makeFailed is make's exit status when a command of it failed. Any other says
// that it was ended from outside, so that tests may not have run.
const makeFailed = 2

// judge holds the results against the list. A failed command without a failed
// package is a failure before or after the tests, and never a known one.
func judge(list []known, results []result, status int) report {
	var r report
	failedPackages := 0
	for _, p := range results {
		if p.ok {
			continue
		}
		failedPackages++
		r.add(list, p)
	}
	if status != 0 && status != makeFailed {
		r.red = append(r.red, fmt.Sprintf("the command was ended with status %d", status))
	}
	if status != 0 && failedPackages == 0 {
		r.red = append(r.red, fmt.Sprintf("the command failed with status %d, and not in a test", status))
	}
	if status == 0 && len(results) == 0 {
		r.red = append(r.red, "the log holds no package that was tested")
	}
	for _, k := range list {
		if !failedIn(results, k.test) {
			r.passes = append(r.passes, fmt.Sprintf("%s (%s)", k.test, k.issue))
		}
	}
	return r
}

func (r *report) add(list []known, p result) {
	if p.aborted || len(p.failed) == 0 {
		r.red = append(r.red, p.pkg+": not built, panicked, timed out, or failed outside its tests")
	}
	for _, name := range p.failed {
		test := testName{p.pkg, name}
		at := slices.IndexFunc(list, func(k known) bool { return k.test == test })
		if at < 0 {
			r.red = append(r.red, test.String())
			continue
		}
		r.known = append(r.known, fmt.Sprintf("%s: %s (%s)", test, list[at].cause, list[at].issue))
	}
}

func failedIn(results []result, t testName) bool {
	return slices.ContainsFunc(results, func(p result) bool {
		return p.pkg == t.pkg && slices.Contains(p.failed, t.name)
	})
}

// passed reports whether nothing failed but what is known to.
func (r report) passed() bool { return len(r.red) == 0 }

// String lists the three kinds; it is empty when all is well.
func (r report) String() string {
	var b strings.Builder
	write := func(head string, lines []string) {
		for _, l := range lines {
			fmt.Fprintf(&b, "%s: %s\n", head, l)
		}
	}
	write("RED", r.red)
	write("KNOWN RED", r.known)
	write("LISTED AS KNOWN RED, BUT DID NOT FAIL", r.passes)
	return b.String()
}
