package objstore

import (
	"fmt"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("platform")

// ErrNotFound means that the object does not exist.
var ErrNotFound = Error.New("no such object")

// ErrCompacted means that the platform no longer keeps all changes after the
// revision of a watch, or that it was restored from an older copy. The caller has to list again.
var ErrCompacted = Error.New("changes since that revision are gone")

// Limits on the responses of the platform, as in the label "limit" of the metrics.
const (
	LimitBytes  = "bytes"  // bytes of one response
	LimitItems  = "items"  // objects or changes in one response
	LimitMemory = "memory" // bytes that all responses hold together
	LimitList   = "list"   // bytes of all pages of a list
)

// LimitError means that a response was given up because it exceeded a limit. The same call may exceed it again.
type LimitError struct {
	Limit    string
	Received int64 // in the unit of the limit, when the response was given up; what it announced, if more
	Max      int64
}

// Error implements error.
func (e *LimitError) Error() string {
	return fmt.Sprintf("the response exceeds the limit %s: %d of %d", e.Limit, e.Received, e.Max)
}
