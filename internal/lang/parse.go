package lang

import (
	"errors"
	"strings"
	"unicode/utf8"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// MaxText is the longest text that Parse and ParseAll read, in bytes.
const MaxText = 1 << 20

// verbs are the forms of the statements, by first word.
var verbs = map[string]string{
	"search":  `search [workload] NAME "text" | search service NAME "text", then [limit N] [min coverage 0.9] [budget 250ms]`,
	"reserve": `reserve "item" in SERVICE [id ULID] [budget 500ms]`,
	"show":    `show services|targets|snapshots|hosts|config|answers|coverage|burn [where FIELD = VALUE and ...] [since 1h] [by FIELD, ...] [limit N] | show claim ID`,
	"create":  `create service NAME from '{JSON}' | create service NAME set KEY = VALUE, ...`,
	"alter":   `alter service NAME set KEY = VALUE, ... at version N`,
	"drop":    `drop service NAME at version N`,
	"drain":   `drain target ID [of SERVICE]`,
	"undrain": `undrain target ID [of SERVICE]`,
	"publish": `publish snapshot '{JSON}'`,
	"retire":  `retire snapshot N of WORKLOAD`,
	"dry":     `dry run CHANGE, a change being create, alter, drop, drain, undrain, publish or retire`,
}

// anyVerb is what a statement may begin with.
const anyVerb = "search, reserve, show, create, alter, drop, drain, undrain, publish, retire or dry run"

// Parse reads one statement; a semicolon may follow it. A statement that
// cannot be read gives an *Error.
func Parse(text string) (Statement, error) {
	all, err := ParseAll(text)
	if err != nil {
		return nil, err
	}
	if len(all) != 1 {
		return nil, &Error{Line: 1, Column: 1, Unexpected: ifElse(len(all) == 0, "", "several statements"), Expected: "one statement"}
	}
	return all[0], nil
}

// ParseAll reads the statements of a file, set apart by semicolons. Comments
// begin with "--" and end with the line. Either all are read or none.
func ParseAll(text string) ([]Statement, error) {
	if len(text) > MaxText {
		return nil, &Error{Line: 1, Column: 1, Unexpected: "a text over 1 MiB", Expected: "a shorter one"}
	}
	if !utf8.ValidString(text) {
		return nil, &Error{Line: 1, Column: 1, Unexpected: "a text that is not UTF-8", Expected: "UTF-8"}
	}
	tree, err := parser.ParseString("", text)
	if err != nil {
		return nil, explain(text, err)
	}
	return convert(text, tree)
}

// convert turns the parsed text into statements; the text gives the usage of
// the one that is wrong.
func convert(text string, tree *script) ([]Statement, error) {
	c := &converter{}
	statements := make([]Statement, 0, len(tree.Statements))
	for _, n := range tree.Statements {
		s := c.statement(n)
		if c.err != nil {
			c.err.Usage = verbs[verbAt(text, n.Pos.Offset)]
			return nil, c.err
		}
		statements = append(statements, s)
	}
	return statements, nil
}

// explain turns an error of the parser into an *Error.
func explain(text string, err error) error {
	var pe participle.Error
	if !errors.As(err, &pe) {
		return class.Wrap(err)
	}
	pos := pe.Position()
	e := &Error{Line: pos.Line, Column: pos.Column, Expected: "another text here"}
	e.Usage = verbs[verbAt(text, statementStart(text, pos.Offset))]
	var unexpected *participle.UnexpectedTokenError
	if errors.As(err, &unexpected) {
		e.Unexpected = describe(unexpected.Unexpected)
		e.Expected = expectation(pe.Message(), e.Usage)
		return e
	}
	e.Unexpected, e.Expected = strayText(text, pos.Offset)
	return e
}

// describe returns the token as an error shows it; empty at the end of the text.
func describe(t lexer.Token) string {
	if t.EOF() {
		return ""
	}
	if strings.HasPrefix(t.Value, "'") || strings.HasPrefix(t.Value, `"`) {
		return t.Value
	}
	return `"` + t.Value + `"`
}

// strayText describes what stands at a place at which no token begins.
func strayText(text string, offset int) (found, expected string) {
	r, _ := utf8.DecodeRuneInString(text[min(offset, len(text)):])
	switch r {
	case '"', '\'':
		return "an opening quote", "a closing quote of the same kind"
	}
	return string(r), "a word, a number, or text in quotes"
}

// verbAt returns the first word at the offset, in lower case.
func verbAt(text string, offset int) string {
	fields := strings.Fields(text[min(offset, len(text)):])
	if len(fields) == 0 {
		return ""
	}
	return strings.ToLower(fields[0])
}

// statementStart returns where the statement that holds the offset begins.
func statementStart(text string, offset int) int {
	start, offset := 0, min(offset, len(text))
	lex, err := tokens.LexString("", text[:offset])
	if err != nil {
		return start
	}
	fresh := true
	for {
		t, err := lex.Next()
		if err != nil || t.EOF() {
			return start
		}
		switch t.Type {
		case tokens.Symbols()["Space"], tokens.Symbols()["Comment"]:
			continue
		}
		if fresh {
			start = t.Pos.Offset
		}
		fresh = t.Value == ";"
	}
}
