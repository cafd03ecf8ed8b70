package cli

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/demo"
	"rhubarbwood.example/rhubarbwood/internal/event"
)

var (
	statementBlock = regexp.MustCompile("(?s)```statement\n(.*?)```")
	execLine       = regexp.MustCompile(`(?m)^\s*(?:bin/)?rhubarbwood (exec .*)$`)
	quoted         = regexp.MustCompile(`'([^']*)'`)
)

// Every statement that the pages print is run as printed, each against a demo
// of its own, because a page's changes name the versions that stand at first.
func TestStatementsOfThePages(t *testing.T) {
	is := is.New(t)
	pages, err := filepath.Glob("../../docs/*.md")
	is.NoErr(err)
	found := 0
	for _, page := range append(pages, "../../README.md") {
		text, err := os.ReadFile(page)
		is.NoErr(err)
		for _, statement := range printed(string(text)) {
			found++
			if r := runAlone(t, statement); r.code != ExitOK {
				t.Errorf("%s: %q ends with %d: %s", filepath.Base(page), statement, r.code, r.err)
			}
		}
	}
	is.True(found > 0)
}

// runAlone runs the statement against a new demo.
func runAlone(t *testing.T, statement string) ran {
	t.Helper()
	is := is.New(t)
	site, err := demo.Start(t.Context(), demo.Options{
		Callers: freePort, Operators: freePort,
		Log: func(string) *event.Log { return event.Discard() },
	})
	is.NoErr(err)
	defer func() { is.NoErr(site.Stop(t.Context())) }()
	first := site.Hosts()[0]
	return run("", "exec", "--entry", first.Callers, "--operators", first.Operators, "--token", demo.Token, statement)
}

// printed returns the statements of a page. Addresses and tokens are
// placeholders there.
func printed(page string) []string {
	var all []string
	for _, m := range statementBlock.FindAllStringSubmatch(page, -1) {
		all = append(all, strings.TrimSpace(m[1]))
	}
	for _, m := range execLine.FindAllStringSubmatch(page, -1) {
		if q := quoted.FindStringSubmatch(m[1]); q != nil {
			all = append(all, q[1])
		}
	}
	return all
}
