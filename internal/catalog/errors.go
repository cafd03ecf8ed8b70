package catalog

import "github.com/zeebo/errs"

// Error is the class of this package's errors.
var Error = errs.Class("catalog")

// errGap means that a batch of changes starts after the revision up to which
// this host has applied all changes.
var errGap = Error.New("batch can't be applied: earlier changes are missing on this host")

// errEmptyPlatform means that no object was ever written to the platform. There
// is no revision to watch from, so it is listed again after a delay.
var errEmptyPlatform = Error.New("the platform has no objects yet")
