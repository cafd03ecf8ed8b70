package lang

import (
	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// tokens are the lexical rules, tried in this order at each position. Tokens keep
// their quotes, so that a quoted word never matches a keyword.
var tokens = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Comment", Pattern: `--[^\n]*`},
	{Name: "Space", Pattern: `\s+`},
	{Name: "JSON", Pattern: `'(?:[^']|'')*'`},
	{Name: "String", Pattern: `"(?:\\.|[^"\\])*"`},
	{Name: "Duration", Pattern: `(?:\d+(?:\.\d+)?(?:ns|us|µs|ms|s|m|h|d))+\b`},
	{Name: "Number", Pattern: `-?\d+(?:\.\d+)?\b`},
	{Name: "Word", Pattern: `[A-Za-z0-9_][A-Za-z0-9_.\-]*`},
	{Name: "Punct", Pattern: `!=|[=,;]`},
})

var parser = participle.MustBuild[script](
	participle.Lexer(tokens),
	participle.Elide("Space", "Comment"),
	participle.CaseInsensitive("Word"),
	participle.UseLookahead(2),
)

// The types below define the grammar; convert.go converts them to statements. Their
// names appear in parser messages, which expect.go translates.

type script struct {
	Statements []*statement `parser:"';'* (@@ (';'+ @@)* ';'*)?"`
}

type statement struct {
	Pos     lexer.Position
	DryRun  bool         `parser:"@('dry' 'run')?"`
	Search  *searchNode  `parser:"( 'search' @@"`
	Reserve *reserveNode `parser:"| 'reserve' @@"`
	Show    *showNode    `parser:"| 'show' @@"`
	Create  *createNode  `parser:"| 'create' 'service' @@"`
	Alter   *alterNode   `parser:"| 'alter' 'service' @@"`
	Drop    *dropNode    `parser:"| 'drop' 'service' @@"`
	Drain   *drainNode   `parser:"| 'drain' 'target' @@"`
	Undrain *drainNode   `parser:"| 'undrain' 'target' @@"`
	Publish *publishNode `parser:"| 'publish' 'snapshot' @@"`
	Retire  *retireNode  `parser:"| 'retire' 'snapshot' @@ )"`
}

type token struct {
	Pos      lexer.Position
	Word     *string `parser:"( @Word"`
	String   *string `parser:"| @String"`
	Number   *string `parser:"| @Number"`
	Duration *string `parser:"| @Duration"`
	JSON     *string `parser:"| @JSON )"`
}

type nameNode struct {
	Pos  lexer.Position
	Text string `parser:"@(Word | String)"`
}

type idNode struct {
	Pos  lexer.Position
	Text string `parser:"@(Word | String | Number | Duration)"`
}

type durationNode struct {
	Pos  lexer.Position
	Text string `parser:"@Duration"`
}

type numberNode struct {
	Pos  lexer.Position
	Text string `parser:"@Number"`
}

type searchNode struct {
	Service  *nameNode       `parser:"( 'service' @@"`
	Workload *nameNode       `parser:"| 'workload'? @@ )"`
	Text     string          `parser:"@String"`
	Clauses  []*searchClause `parser:"@@*"`
}

type searchClause struct {
	Pos         lexer.Position
	Limit       *numberNode   `parser:"( 'limit' @@"`
	MinCoverage *numberNode   `parser:"| 'min' 'coverage' @@"`
	Budget      *durationNode `parser:"| 'budget' @@ )"`
}

type reserveNode struct {
	Item    string           `parser:"@String"`
	Service *nameNode        `parser:"'in' 'service'? @@"`
	Clauses []*reserveClause `parser:"@@*"`
}

type reserveClause struct {
	Pos    lexer.Position
	ID     *idNode       `parser:"( 'id' @@"`
	Budget *durationNode `parser:"| 'budget' @@ )"`
}

type showNode struct {
	Claim   *idNode       `parser:"( 'claim' @@"`
	Subject string        `parser:"| @('services' | 'targets' | 'snapshots' | 'hosts' | 'config' | 'answers' | 'coverage' | 'burn')"`
	Clauses []*showClause `parser:"  @@* )"`
}

type showClause struct {
	Pos   lexer.Position
	Where []*conditionNode `parser:"( 'where' @@ ('and' @@)*"`
	Since *durationNode    `parser:"| 'since' @@"`
	By    []string         `parser:"| 'by' @Word (',' @Word)*"`
	Limit *numberNode      `parser:"| 'limit' @@ )"`
}

type conditionNode struct {
	Field string `parser:"@Word"`
	Op    string `parser:"@('=' | '!=')"`
	Value *token `parser:"@@"`
}

type assignmentNode struct {
	Key   string `parser:"@Word '='"`
	Value *token `parser:"@@"`
}

type createNode struct {
	Name *nameNode         `parser:"@@"`
	JSON *jsonNode         `parser:"( 'from' @@"`
	Set  []*assignmentNode `parser:"| 'set' @@ (',' @@)* )"`
}

type alterNode struct {
	Name    *nameNode         `parser:"@@"`
	Set     []*assignmentNode `parser:"'set' @@ (',' @@)*"`
	Version *numberNode       `parser:"'at' 'version' @@"`
}

type dropNode struct {
	Name    *nameNode   `parser:"@@"`
	Version *numberNode `parser:"'at' 'version' @@"`
}

type drainNode struct {
	Target  *nameNode `parser:"@@"`
	Service *nameNode `parser:"('of' 'service'? @@)?"`
}

type publishNode struct {
	JSON *jsonNode `parser:"@@"`
}

type retireNode struct {
	ID       *numberNode `parser:"@@"`
	Workload *nameNode   `parser:"'of' @@"`
}

type jsonNode struct {
	Pos  lexer.Position
	Text string `parser:"@JSON"`
}
