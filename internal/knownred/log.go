package main

import (
	"regexp"
	"strings"
)

// modulePrefix is removed from the package paths in the log.
const modulePrefix = "rhubarbwood.example/rhubarbwood/"

// packageResult is the result of go test for one package.
type packageResult struct {
	pkg     string
	ok      bool
	failed  []string // top-level tests that failed
	aborted bool     // not built, panicked, or timed out: results of tests may be missing
}

var (
	failedTest    = regexp.MustCompile(`^--- FAIL: (\S+) \(`)
	failedPackage = regexp.MustCompile(`^FAIL\t(\S+)(.*)$`)
	okPackage     = regexp.MustCompile(`^ok  \t(\S+)\t`)
)

// readLog parses the plain output of go test, where the lines of the tests of a
// package precede the line of the package.
func readLog(text string) []packageResult {
	var results []packageResult
	var current packageResult
	for _, line := range strings.Split(text, "\n") {
		switch {
		case failedTest.MatchString(line):
			current.failed = append(current.failed, failedTest.FindStringSubmatch(line)[1])
		case strings.HasPrefix(line, "panic: "), strings.HasPrefix(line, "fatal error: "):
			current.aborted = true
		case failedPackage.MatchString(line):
			m := failedPackage.FindStringSubmatch(line)
			current.pkg = strings.TrimPrefix(m[1], modulePrefix)
			current.aborted = current.aborted || strings.Contains(m[2], "failed]")
			results = append(results, current)
			current = packageResult{}
		case okPackage.MatchString(line):
			pkg := strings.TrimPrefix(okPackage.FindStringSubmatch(line)[1], modulePrefix)
			results = append(results, packageResult{pkg: pkg, ok: true})
			current = packageResult{}
		}
	}
	return results
}
