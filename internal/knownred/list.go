package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"strings"
)

// maxKnown is how many tests may be known to fail at a time.
const maxKnown = 3

// known is a test that is known to fail.
type known struct {
	test  testName
	cause string
	issue string
}

// testName is a test function in a package of the module, such as
// "internal/claim" and "TestSweep".
type testName struct{ pkg, name string }

// String returns the form used in the list, "internal/claim.TestSweep".
func (t testName) String() string { return t.pkg + "." + t.name }

// readList reads lines "package.Test; cause; issue". Empty lines and those
// that begin with # are left out; so is a missing file.
func readList(file string) ([]known, error) {
	text, err := os.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read list: %w", err)
	}
	return parseList(string(text))
}

func parseList(text string) ([]known, error) {
	var list []known
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		k, err := parseKnown(line)
		if err != nil {
			return nil, fmt.Errorf("list, line %d: %w", i+1, err)
		}
		list = append(list, k)
	}
	if len(list) > maxKnown {
		return nil, fmt.Errorf("the list has %d tests; want %d at most", len(list), maxKnown)
	}
	return list, nil
}

func parseKnown(line string) (known, error) {
	parts := strings.SplitN(line, ";", 3)
	if len(parts) != 3 {
		return known{}, errors.New("want \"package.Test; cause; issue\"")
	}
	full := strings.TrimSpace(parts[0])
	dot := strings.LastIndexByte(full, '.')
	cause, issue := strings.TrimSpace(parts[1]), strings.TrimSpace(parts[2])
	if dot < 1 || cause == "" || issue == "" {
		return known{}, errors.New("want \"package.Test; cause; issue\", none of them empty")
	}
	return known{testName{full[:dot], full[dot+1:]}, cause, issue}, nil
}
