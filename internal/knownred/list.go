package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"strings"
)

// maxKnown is the maximum number of tests in the list.
const maxKnown = 3

// knownFailure is an entry of the list: a test that is known to fail.
type knownFailure struct {
	test  testName
	cause string
	issue string
}

// testName is a test function in a package of the module, such as
// "internal/claim" and "TestSweep".
type testName struct{ pkg, name string }

// String returns the form used in the list, "internal/claim.TestSweep".
func (t testName) String() string { return t.pkg + "." + t.name }

// readList reads a file with lines "package.Test; cause; issue". Empty lines and
// lines that begin with # are ignored. A missing file is an empty list.
func readList(file string) ([]knownFailure, error) {
	text, err := os.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read list: %w", err)
	}
	return parseList(string(text))
}

func parseList(text string) ([]knownFailure, error) {
	var list []knownFailure
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		k, err := parseKnown(line)
		if err != nil {
			return nil, fmt.Errorf("parse list: line %d: %w", i+1, err)
		}
		list = append(list, k)
	}
	if len(list) > maxKnown {
		return nil, fmt.Errorf("the list has %d tests; the maximum is %d", len(list), maxKnown)
	}
	return list, nil
}

func parseKnown(line string) (knownFailure, error) {
	parts := strings.SplitN(line, ";", 3)
	if len(parts) != 3 {
		return knownFailure{}, errors.New("the line is not of the form \"package.Test; cause; issue\"")
	}
	full := strings.TrimSpace(parts[0])
	dot := strings.LastIndexByte(full, '.')
	cause, issue := strings.TrimSpace(parts[1]), strings.TrimSpace(parts[2])
	if dot < 1 || cause == "" || issue == "" {
		return knownFailure{}, errors.New("the package, cause or issue is empty in \"package.Test; cause; issue\"")
	}
	return knownFailure{testName{full[:dot], full[dot+1:]}, cause, issue}, nil
}
