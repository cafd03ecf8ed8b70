package targetconn

import (
	"errors"
	"net/http"

	"rhubarbwood.example/rhubarbwood/internal/membudget"
)

// headerLineMemory is the memory of a decoded header line in addition to its bytes.
const headerLineMemory = 64

// headerMemory returns about how much memory a decoded header takes, in bytes.
func headerMemory(h http.Header) int64 {
	n := 0
	for name, values := range h {
		n += headerLineMemory + len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return int64(n)
}

// limitError returns the error of a response that exceeded a limit as a *LimitError, and others as they are. Reading
// a response that was given up for others fails with the error of the aborted read.
func limitError(err error, memory *membudget.Message) error {
	var tooLong *membudget.TooLongError
	if errors.As(err, &tooLong) {
		return &LimitError{Limit: LimitBodyBytes, Received: tooLong.Size, Max: tooLong.Max}
	}
	var exceeded *membudget.ExceededError
	if errors.As(memory.Err(), &exceeded) {
		return &LimitError{Limit: LimitMemory, Received: exceeded.Size, Max: exceeded.Max}
	}
	return err
}
