package entry

import "github.com/zeebo/errs"

// Error is the class of this package's errors. Callers get a query.Refusal
// instead.
var Error = errs.Class("entry")
