package lang

import (
	"regexp"
	"strings"
)

// tokenPhrases replaces the parser's names of tokens and rules by descriptions. The
// parser derives the names of rules from the names of the grammar's Go types.
var tokenPhrases = strings.NewReplacer(
	"<string>", "text in double quotes",
	"NameNode", "a name",
	"IdNode", "an id",
	"NumberNode", "a number",
	"DurationNode", "a duration such as 250ms",
	"JsonNode", "JSON in single quotes",
	"Token", "a value",
	"AssignmentNode", "KEY = VALUE",
	"ConditionNode", "FIELD = VALUE",
	"DrainNode", "a target's id",
	"ReserveNode", "the item in double quotes",
	"ShowNode", "services, targets, snapshots, hosts, config, answers, coverage, burn or claim",
	" | ", " or ",
	"(", "", ")", "",
)

// optionalTerms matches the optional terms in a parser message.
var optionalTerms = regexp.MustCompile(`\s*(\([^()]*\)|\S+)[*?]`)

// expectedMark precedes the expected terms in a parser message.
const expectedMark = " (expected "

// expectedText returns the expectation in the parser's message, in words. For text
// after a complete statement the parser's message contains none.
func expectedText(message, usage string) string {
	if usage == "" {
		return verbList
	}
	_, expected, ok := strings.Cut(message, expectedMark)
	if !ok {
		return "a clause of the statement, or its end"
	}
	expected = optionalTerms.ReplaceAllString(strings.TrimSuffix(expected, ")"), "")
	return strings.TrimSpace(tokenPhrases.Replace(expected))
}
