package objstore

import "github.com/zeebo/errs"

// Error is the class of this package's errors.
var Error = errs.Class("platform")

// ErrNotFound means that there is no such object.
var ErrNotFound = Error.New("no such object")

// ErrCompacted means that a watch began before the oldest change kept.
var ErrCompacted = Error.New("changes since that revision are gone")
