// Package member maintains the list of the system's hosts by a gossip protocol.
// Each host probes a few others a second and piggybacks host records on the
// probes, so that its cost does not grow with the fleet. The lists of two hosts
// may differ for a while: this is no consensus protocol, and nothing that must
// be exact may depend on a list. docs/design/membership.md has the reasons and
// figures.
//
// Begin with Members, the membership of one host, and table, the state that it
// keeps of the others.
package member
