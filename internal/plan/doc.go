// Package plan computes which hosts relay a service and which relays an entry
// asks. It is pure: every host computes the same from the same membership,
// and hosts whose views differ waste a connection but break no promise.
package plan
