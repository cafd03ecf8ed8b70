package main

import (
	"regexp"
	"strings"
)

// module is cut off the package paths of the log.
const module = "rhubarbwood.example/rhubarbwood/"

// result is what go test said of one package.
type result struct {
	pkg     string
	ok      bool
	failed  []string // top-level tests that failed
	aborted bool     // built not at all, panicked, or timed out: tests may be missing
}

var (
	failedTest    = regexp.MustCompile(`^--- FAIL: (\S+) \(`)
	failedPackage = regexp.MustCompile(`^FAIL\t(\S+)(.*)$`)
	okPackage     = regexp.MustCompile(`^ok  \t(\S+)\t`)
)

// readLog reads the plain output of go test, where the lines about the tests
// of a package stand before the package's own line.
func readLog(text string) []result {
	var results []result
	var current result
	for _, line := range strings.Split(text, "\n") {
		switch {
		case failedTest.MatchString(line):
			current.failed = append(current.failed, failedTest.FindStringSubmatch(line)[1])
		case strings.HasPrefix(line, "panic: "), strings.HasPrefix(line, "fatal error: "):
			current.aborted = true
		case failedPackage.MatchString(line):
			m := failedPackage.FindStringSubmatch(line)
			current.pkg = strings.TrimPrefix(m[1], module)
			current.aborted = current.aborted || strings.Contains(m[2], "failed]")
			results = append(results, current)
			current = result{}
		case okPackage.MatchString(line):
			pkg := strings.TrimPrefix(okPackage.FindStringSubmatch(line)[1], module)
			results = append(results, result{pkg: pkg, ok: true})
			current = result{}
		}
	}
	return results
}
