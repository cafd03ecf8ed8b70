package lang

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/participle/v2/lexer"
)

// converter converts the grammar's nodes to statements. Its methods do not return
// errors: the first one is kept in err, to be checked after the conversion.
type converter struct {
	err *Error
}

// fail records an error unless there is one already.
func (c *converter) fail(pos lexer.Position, found, expected string) {
	if c.err == nil {
		c.err = &Error{Line: pos.Line, Column: pos.Column, Unexpected: found, Expected: expected}
	}
}

// statement converts one statement. A "dry run" of a statement that is not a Change
// is an error.
func (c *converter) statement(n *statement) Statement {
	s := c.statementBody(n)
	if !n.DryRun {
		return s
	}
	change, ok := s.(Change)
	if !ok {
		c.fail(n.Pos, `"dry run"`, "a change after it: create, alter, drop, drain, undrain, publish or retire")
		return nil
	}
	return DryRun{Change: change}
}

// statementBody converts a statement without its "dry run" prefix.
func (c *converter) statementBody(n *statement) Statement {
	switch {
	case n.Search != nil:
		return c.search(n.Search)
	case n.Reserve != nil:
		return c.reserve(n.Reserve)
	case n.Show != nil:
		return c.show(n.Show)
	case n.Create != nil:
		return c.create(n.Create)
	case n.Alter != nil:
		return AlterService{Name: c.name(n.Alter.Name), Set: c.set(n.Alter.Set), Version: c.version(n.Alter.Version)}
	case n.Drop != nil:
		return DropService{Name: c.name(n.Drop.Name), Version: c.version(n.Drop.Version)}
	case n.Drain != nil:
		return DrainTarget{Target: c.name(n.Drain.Target), Service: c.name(n.Drain.Service)}
	case n.Undrain != nil:
		return UndrainTarget{Target: c.name(n.Undrain.Target), Service: c.name(n.Undrain.Service)}
	case n.Publish != nil:
		return PublishSnapshot{JSON: c.json(n.Publish.JSON)}
	}
	return RetireSnapshot{Workload: c.name(n.Retire.Workload), ID: c.version(n.Retire.ID)}
}

func (c *converter) search(n *searchNode) Statement {
	s := Search{Workload: c.name(n.Workload), Service: c.name(n.Service), Text: unquote(n.Text), MinCoverage: -1}
	seen := clauseSet{c: c}
	for _, cl := range n.Clauses {
		switch {
		case cl.Limit != nil:
			seen.addOnce(cl.Pos, "limit")
			s.Limit = c.count(cl.Limit)
		case cl.MinCoverage != nil:
			seen.addOnce(cl.Pos, "min coverage")
			s.MinCoverage = c.fraction(cl.MinCoverage)
		default:
			seen.addOnce(cl.Pos, "budget")
			s.Budget = c.duration(cl.Budget)
		}
	}
	return s
}

func (c *converter) reserve(n *reserveNode) Statement {
	s := Reserve{Item: unquote(n.Item), Service: c.name(n.Service)}
	seen := clauseSet{c: c}
	for _, cl := range n.Clauses {
		if cl.ID != nil {
			seen.addOnce(cl.Pos, "id")
			s.ID = c.id(cl.ID)
			continue
		}
		seen.addOnce(cl.Pos, "budget")
		s.Budget = c.duration(cl.Budget)
	}
	return s
}

func (c *converter) show(n *showNode) Statement {
	if n.Claim != nil {
		return ShowClaim{ID: c.id(n.Claim)}
	}
	s := Show{Subject: Subject(strings.ToLower(n.Subject))}
	seen := clauseSet{c: c}
	for _, cl := range n.Clauses {
		switch {
		case cl.Where != nil:
			seen.addOnce(cl.Pos, "where")
			s.Where = c.where(cl.Where)
		case cl.Since != nil:
			seen.addOnce(cl.Pos, "since")
			s.Since = c.duration(cl.Since)
		case cl.By != nil:
			seen.addOnce(cl.Pos, "by")
			s.By = toLowerAll(cl.By)
		default:
			seen.addOnce(cl.Pos, "limit")
			s.Limit = c.count(cl.Limit)
		}
	}
	return s
}

func (c *converter) where(nodes []*conditionNode) []Condition {
	conditions := make([]Condition, 0, len(nodes))
	for _, n := range nodes {
		conditions = append(conditions, Condition{
			Field: strings.ToLower(n.Field), Not: n.Op == "!=", Value: c.value(n.Value).Text,
		})
	}
	return conditions
}

func (c *converter) create(n *createNode) Statement {
	s := CreateService{Name: c.name(n.Name)}
	if n.JSON != nil {
		s.JSON = c.json(n.JSON)
		return s
	}
	s.Set = c.set(n.Set)
	return s
}

func (c *converter) set(nodes []*assignmentNode) []Assignment {
	set := make([]Assignment, 0, len(nodes))
	seen := clauseSet{c: c}
	for _, n := range nodes {
		key := strings.ToLower(n.Key)
		seen.addOnce(n.Value.Pos, key)
		set = append(set, Assignment{Key: key, Value: c.value(n.Value)})
	}
	return set
}

func (c *converter) value(n *token) Value {
	switch {
	case n.Word != nil:
		return Value{Kind: Word, Text: *n.Word}
	case n.String != nil:
		return Value{Kind: Text, Text: unquote(*n.String)}
	case n.Number != nil:
		return c.number(n)
	case n.Duration != nil:
		c.duration(&durationNode{Pos: n.Pos, Text: *n.Duration})
		return Value{Kind: Duration, Text: *n.Duration}
	}
	return Value{Kind: JSON, Text: string(c.json(&jsonNode{Pos: n.Pos, Text: *n.JSON}))}
}

func (c *converter) number(n *token) Value {
	if !json.Valid([]byte(*n.Number)) {
		c.fail(n.Pos, *n.Number, "a number without leading zeros, or a string in double quotes")
	}
	return Value{Kind: Number, Text: *n.Number}
}

func (c *converter) name(n *nameNode) string {
	if n == nil {
		return ""
	}
	text := unquoteOptional(n.Text)
	if text == "" {
		c.fail(n.Pos, n.Text, "a name that is not empty")
	}
	return text
}

func (c *converter) id(n *idNode) string {
	text := unquoteOptional(n.Text)
	if text == "" {
		c.fail(n.Pos, n.Text, "a reservation id, a ULID")
	}
	return text
}

func (c *converter) json(n *jsonNode) json.RawMessage {
	text := unquoteJSON(n.Text)
	if !json.Valid([]byte(text)) {
		c.fail(n.Pos, "text that is not JSON", "valid JSON in single quotes")
	}
	return json.RawMessage(text)
}

func (c *converter) duration(n *durationNode) time.Duration {
	d, err := parseDuration(n.Text)
	if err != nil || d <= 0 {
		c.fail(n.Pos, n.Text, "a duration above zero with a unit, such as 250ms, 1h or 3d")
	}
	return d
}

func (c *converter) count(n *numberNode) int {
	v, err := strconv.Atoi(n.Text)
	if err != nil || v <= 0 {
		c.fail(n.Pos, n.Text, "a whole number above zero")
	}
	return v
}

func (c *converter) version(n *numberNode) uint64 {
	v, err := strconv.ParseUint(n.Text, 10, 64)
	if err != nil || v == 0 {
		c.fail(n.Pos, n.Text, "the version that was read, a whole number above zero")
	}
	return v
}

func (c *converter) fraction(n *numberNode) float64 {
	v, err := strconv.ParseFloat(n.Text, 64)
	if err != nil || v < 0 || v > 1 {
		c.fail(n.Pos, n.Text, "a fraction from 0 to 1, such as 0.9")
	}
	return v
}

// clauseSet is the set of clauses or keys seen in one statement, used to reject
// duplicates.
type clauseSet struct {
	c    *converter
	seen map[string]bool
}

// addOnce adds a clause, or records an error if it was added before.
func (s *clauseSet) addOnce(pos lexer.Position, clause string) {
	if s.seen[clause] {
		s.c.fail(pos, "a second "+clause, clause+" at most once")
		return
	}
	if s.seen == nil {
		s.seen = map[string]bool{}
	}
	s.seen[clause] = true
}

// unquoteOptional returns the text of a name token, with or without double quotes.
func unquoteOptional(s string) string {
	if strings.HasPrefix(s, `"`) {
		return unquote(s)
	}
	return s
}

// toLowerAll returns the words in lower case.
func toLowerAll(words []string) []string {
	out := make([]string, 0, len(words))
	for _, w := range words {
		out = append(out, strings.ToLower(w))
	}
	return out
}
