// Package claim runs reservations at most once. Before the first byte of a
// reservation is sent to a target, the host creates a claim record in the
// platform under the caller's reservation id. Only the attempt that the record
// names may be sent. A repeat gets its result from the record, from the host
// that the record names, or from the target.
//
// The package does not choose targets and does not talk to them: it does both
// through a Sender, which the relay implements. It also does not evaluate the
// results of several requests of one caller; see Claims.
//
// Begin reading at Claims.Reserve in claims.go, then runner.run in runner.go and
// evaluateRecord in repeat.go.
package claim
