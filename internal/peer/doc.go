// Package peer carries the calls between hosts over drpc: each host has a
// Server with one listener, and a Pool of connections to the others. It
// neither finds the hosts (package member) nor implements their services.
//
// Begin with Server, Pool and NotRun.
package peer
