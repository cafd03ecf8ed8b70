// Package operate runs the statements of operators on a host. It shows
// services, targets, hosts, configuration, reservations and delivery reports as
// tables, and changes the configuration through the catalog's editor. It neither
// parses statements (see package lang) nor serves them over HTTP (see package
// api), and it doesn't authorize operators. Start reading at Executor.Execute in
// execute.go.
package operate
