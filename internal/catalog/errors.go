package catalog

import "github.com/zeebo/errs"

// Error is the class of this package's errors.
var Error = errs.Class("catalog")

// errGap means that a batch of changes begins after the last change that this
// host has.
var errGap = Error.New("changes before the batch are missing")

// errEmptyPlatform means that the platform has never held an object. There is
// no revision to watch from, so it is listed again after a while.
var errEmptyPlatform = Error.New("the platform holds nothing yet")
