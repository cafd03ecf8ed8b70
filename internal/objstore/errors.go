package objstore

import "github.com/zeebo/errs"

// Error is the class of this package's errors.
var Error = errs.Class("platform")

// ErrNotFound means that the object does not exist.
var ErrNotFound = Error.New("no such object")

// ErrCompacted means that the platform no longer keeps all changes after the
// revision of a watch, or that it was restored from an older copy. The caller has to list again.
var ErrCompacted = Error.New("changes since that revision are gone")
