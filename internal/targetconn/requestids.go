package targetconn

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxNotRunIDs is the number of requests that a connection remembers as not run. A connection that has
// reached it is closed, as it must not forget any.
const maxNotRunIDs = 64

// requestIDs is a set of request ids. It holds their hashes: where two collide, a request gets another
// connection without need.
type requestIDs struct{ hashes []uint64 }

func (s *requestIDs) add(id string) {
	if id != "" && !s.has(id) {
		s.hashes = append(s.hashes, xxhash.Sum64String(id))
	}
}

func (s *requestIDs) has(id string) bool {
	return len(s.hashes) > 0 && slices.Contains(s.hashes, xxhash.Sum64String(id))
}

func (s *requestIDs) full() bool { return len(s.hashes) >= maxNotRunIDs }
