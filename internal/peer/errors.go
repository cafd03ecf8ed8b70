package peer

import (
	"errors"

	"github.com/zeebo/errs"
	"storj.io/drpc/drpcerr"
)

// Error is the class of this package's errors.
var Error = errs.Class("peer")

// codeStopping is the drpc error code of a call refused by a stopping server.
const codeStopping = 1001

// errStopping is the error that a stopping server returns to the calls of
// peers.
var errStopping = drpcerr.WithCode(Error.New("host is stopping"), codeStopping)

// notSent marks a call that failed before it had a connection.
type notSent struct{ error }

func (e notSent) Unwrap() error { return e.error }

// NotRun reports whether a failed call certainly did not run at the peer: it
// had no connection, or the peer refused it because it is stopping. If NotRun
// returns false the call may have run.
func NotRun(err error) bool {
	var unsent notSent
	return errors.As(err, &unsent) || drpcerr.Code(err) == codeStopping
}
