package main

import (
	"fmt"
	"slices"
	"strings"
)

// report is the result of a test run compared with the list.
type report struct {
	unexpected []string // failures that are not in the list
	expected   []string // failures that are in the list
	notFailed  []string // tests in the list that passed or didn't run
}

// makeFailedStatus is the exit status of make when one of its commands failed. Any
// other status but 0 means that make was terminated, and tests may not have run.
const makeFailedStatus = 2

// evaluate compares the results with the list. A failed command without a failed
// package has failed before or after the tests, which is never a known failure.
func evaluate(list []knownFailure, results []packageResult, status int) report {
	var r report
	failedPackages := 0
	for _, p := range results {
		if p.ok {
			continue
		}
		failedPackages++
		r.add(list, p)
	}
	if status != 0 && status != makeFailedStatus {
		r.unexpected = append(r.unexpected, fmt.Sprintf("the command was terminated with status %d", status))
	}
	if status != 0 && failedPackages == 0 {
		r.unexpected = append(r.unexpected, fmt.Sprintf("the command failed with status %d outside of the tests", status))
	}
	if status == 0 && len(results) == 0 {
		r.unexpected = append(r.unexpected, "the log contains no tested package")
	}
	for _, k := range list {
		if !failedIn(results, k.test) {
			r.notFailed = append(r.notFailed, fmt.Sprintf("%s (%s)", k.test, k.issue))
		}
	}
	return r
}

func (r *report) add(list []knownFailure, p packageResult) {
	if p.aborted || len(p.failed) == 0 {
		r.unexpected = append(r.unexpected, p.pkg+": not built, panicked, timed out, or failed outside its tests")
	}
	for _, name := range p.failed {
		test := testName{p.pkg, name}
		at := slices.IndexFunc(list, func(k knownFailure) bool { return k.test == test })
		if at < 0 {
			r.unexpected = append(r.unexpected, test.String())
			continue
		}
		r.expected = append(r.expected, fmt.Sprintf("%s: %s (%s)", test, list[at].cause, list[at].issue))
	}
}

func failedIn(results []packageResult, t testName) bool {
	return slices.ContainsFunc(results, func(p packageResult) bool {
		return p.pkg == t.pkg && slices.Contains(p.failed, t.name)
	})
}

// passed reports whether all failures are in the list.
func (r report) passed() bool { return len(r.unexpected) == 0 }

// String lists the unexpected failures, the known failures and the listed tests
// that did not fail, one per line. It is empty if there are none.
func (r report) String() string {
	var b strings.Builder
	write := func(head string, lines []string) {
		for _, l := range lines {
			fmt.Fprintf(&b, "%s: %s\n", head, l)
		}
	}
	write("RED", r.unexpected)
	write("KNOWN RED", r.expected)
	write("LISTED AS KNOWN RED, BUT DID NOT FAIL", r.notFailed)
	return b.String()
}
