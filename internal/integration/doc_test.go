// Package integration tests entries, relays and target stand-ins together in virtual time, over
// in-memory connections. Begin with site and TestSnapshotHistories.
package integration
