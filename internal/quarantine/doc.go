// Package quarantine keeps requests that end the targets which run them from further targets.
//
// Requests are identified by a hash of their content, so that a retry by a caller, at any host, is
// recognized as the same request. Each time targets end while they run a request, the request gets a
// strike. A request with strikes is admitted one attempt at a time; with enough of them it is
// quarantined for a while. Hosts exchange their records, and store those of quarantined requests for
// hosts that start later.
//
// The package does not send requests and does not detect that targets end: the gateway does, and calls
// Table.Admit, Table.Ended and Table.Answered. Begin with Table; suspect has the rules for one key, and
// Keeper writes to the store.
package quarantine
