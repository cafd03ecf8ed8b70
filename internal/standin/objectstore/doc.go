// Package objectstore is an in-memory stand-in for the platform's object store: the object API
// over HTTP with revisions, conditional writes and watches. It counts every call, injects faults,
// and restores older backups of itself. It stores nothing on disk. docs/PLATFORM.md describes the
// interface. Begin with Store and Store.Handler.
package objectstore
