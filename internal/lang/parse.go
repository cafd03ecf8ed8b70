package lang

import (
	"errors"
	"strings"
	"unicode/utf8"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// MaxTextBytes is the maximum length of a text that Parse and ParseAll accept, in
// bytes.
const MaxTextBytes = 1 << 20

// usageByVerb holds the syntax of each statement, by its first word.
var usageByVerb = map[string]string{
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

// verbList lists the words that a statement may begin with, for error messages.
const verbList = "search, reserve, show, create, alter, drop, drain, undrain, publish, retire or dry run"

// Parse parses a text with exactly one statement, which may end with a semicolon.
// If the text is not valid, the error is an *Error.
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

// ParseAll parses the statements of a file, separated by semicolons. Comments
// begin with "--" and extend to the end of the line. If any statement is not
// valid, ParseAll returns an error and no statements.
func ParseAll(text string) ([]Statement, error) {
	if len(text) > MaxTextBytes {
		return nil, &Error{Line: 1, Column: 1, Unexpected: "a text over 1 MiB", Expected: "at most 1 MiB"}
	}
	if !utf8.ValidString(text) {
		return nil, &Error{Line: 1, Column: 1, Unexpected: "a text that is not UTF-8", Expected: "UTF-8"}
	}
	tree, err := parser.ParseString("", text)
	if err != nil {
		return nil, fromParserError(text, err)
	}
	return convert(text, tree)
}

// convert converts the syntax tree of the text to statements. If a statement is
// not valid, its usage is added to the error.
func convert(text string, tree *script) ([]Statement, error) {
	c := &converter{}
	statements := make([]Statement, 0, len(tree.Statements))
	for _, n := range tree.Statements {
		s := c.statement(n)
		if c.err != nil {
			c.err.Usage = usageByVerb[verbAt(text, n.Pos.Offset)]
			return nil, c.err
		}
		statements = append(statements, s)
	}
	return statements, nil
}

// fromParserError converts an error of the parser to an *Error.
func fromParserError(text string, err error) error {
	var pe participle.Error
	if !errors.As(err, &pe) {
		return errorClass.Wrap(err)
	}
	pos := pe.Position()
	e := &Error{Line: pos.Line, Column: pos.Column, Expected: "a valid statement"}
	e.Usage = usageByVerb[verbAt(text, statementStart(text, pos.Offset))]
	var unexpected *participle.UnexpectedTokenError
	if errors.As(err, &unexpected) {
		e.Unexpected = describeToken(unexpected.Unexpected)
		e.Expected = expectedText(pe.Message(), e.Usage)
		return e
	}
	e.Unexpected, e.Expected = describeLexicalError(text, pos.Offset)
	return e
}

// describeToken returns the token as shown in an error; empty at the end of the
// text.
func describeToken(t lexer.Token) string {
	if t.EOF() {
		return ""
	}
	if strings.HasPrefix(t.Value, "'") || strings.HasPrefix(t.Value, `"`) {
		return t.Value
	}
	return `"` + t.Value + `"`
}

// describeLexicalError describes the text at an offset where no token matches, and
// what was expected there.
func describeLexicalError(text string, offset int) (found, expected string) {
	r, _ := utf8.DecodeRuneInString(text[min(offset, len(text)):])
	switch r {
	case '"', '\'':
		return "an opening quote", "a closing quote of the same kind"
	}
	return string(r), "a word, a number, or text in quotes"
}

// verbAt returns the word at the offset, in lower case.
func verbAt(text string, offset int) string {
	fields := strings.Fields(text[min(offset, len(text)):])
	if len(fields) == 0 {
		return ""
	}
	return strings.ToLower(fields[0])
}

// statementStart returns the offset of the beginning of the statement that contains
// the given offset.
func statementStart(text string, offset int) int {
	start, offset := 0, min(offset, len(text))
	lex, err := tokens.LexString("", text[:offset])
	if err != nil {
		return start
	}
	atStart := true
	for {
		t, err := lex.Next()
		if err != nil || t.EOF() {
			return start
		}
		switch t.Type {
		case tokens.Symbols()["Space"], tokens.Symbols()["Comment"]:
			continue
		}
		if atStart {
			start = t.Pos.Offset
		}
		atStart = t.Value == ";"
	}
}
