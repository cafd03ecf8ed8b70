// Package delivery records which caller received which result. Each host counts
// its answers in windows and writes them to the platform, a compactor aggregates
// the windows of all hosts, and reports merge them and state which windows they
// lack.
//
// The package is not a log of requests: deliveries are counted by key, and only
// reservations, refusals and partial answers are kept individually, up to a
// limit. It also does not define service-level objectives, which come from the
// catalog and from the routes.
//
// Begin reading at Windows in windows.go, which records and writes windows. The
// Compactor in compact.go aggregates them, and Reporter.gather in gather.go reads
// them for a report.
package delivery
