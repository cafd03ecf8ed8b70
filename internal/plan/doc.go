// Package plan computes which hosts relay a service and which relays an entry
// sends a query to. Its functions are pure: every host computes the same
// result from the same membership. Hosts whose views differ open connections
// that are not needed, but no guarantee depends on equal views.
//
// It sends no requests and tracks no relay health; packages entry and relay do.
// Start reading at ForService.
package plan
