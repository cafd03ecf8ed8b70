// Package objstore stores the system's durable state as versioned objects in
// the platform's object API. Nothing that must survive a restart is stored
// anywhere else.
//
// Store is the interface that the other packages use; Client implements it on
// Records, the raw records of the platform's API, and adds versions, timestamps
// and conditional writes by version. LimitedRecords wraps Records with the rate limit,
// the timeout, the metrics and the log of one host. The package contains neither
// the wire format of the platform's API nor a cache of object values, and it
// never retries a write. Start reading at Store in api.go.
package objstore
