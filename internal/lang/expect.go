package lang

import (
	"regexp"
	"strings"
)

// phrases put the parser's names of tokens and rules into words.
var phrases = strings.NewReplacer(
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

// optional matches what the parser could also do without.
var optional = regexp.MustCompile(`\s*(\([^()]*\)|\S+)[*?]`)

const expectedMark = " (expected "

// expectation puts the parser's message into words. The parser names no
// expectation for text after a whole statement.
func expectation(message, usage string) string {
	if usage == "" {
		return anyVerb
	}
	_, expected, ok := strings.Cut(message, expectedMark)
	if !ok {
		return "a clause of the statement, or its end"
	}
	expected = optional.ReplaceAllString(strings.TrimSuffix(expected, ")"), "")
	return strings.TrimSpace(phrases.Replace(expected))
}
