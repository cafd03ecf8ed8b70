// Package lang parses the query and command language of operators and callers.
// Parse turns text into typed statements, and the String method of a statement
// returns text that Parse parses into the same statement. The package does no
// I/O and does not run statements; package operate does. Begin reading at
// Statement and Parse; the grammar is in grammar.go.
package lang
