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

// Runs every statement printed in the documentation. Each runs against a new
// demo site, because statements that change objects name their initial versions.
func TestStatementsOfThePages(t *testing.T) {
	is := is.New(t)
	pages, err := filepath.Glob("../../docs/*.md")
	is.NoErr(err)
	found := 0
	for _, page := range append(pages, "../../README.md") {
		text, err := os.ReadFile(page)
		is.NoErr(err)
		for _, statement := range statementsIn(string(text)) {
			found++
			if r := runAgainstNewDemo(t, statement); r.code != ExitOK {
				t.Errorf("%s: %q exits with code %d: %s", filepath.Base(page), statement, r.code, r.err)
			}
		}
	}
	is.True(found > 0)
}

// runAgainstNewDemo runs a statement against a new demo site.
func runAgainstNewDemo(t *testing.T, statement string) commandResult {
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

// statementsIn returns the statements in a page: statement blocks and the
// quoted arguments of exec command lines, whose addresses and tokens are
// placeholders.
func statementsIn(page string) []string {
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
