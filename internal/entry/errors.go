package entry

import "github.com/zeebo/errs"

// Error is the class of this package's errors. What a caller reads is a
// query.Refusal.
var Error = errs.Class("entry")
