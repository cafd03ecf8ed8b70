package policy

import "github.com/cespare/xxhash/v2"

// Rank places a request in [0, 1) by its id; the lower one goes first in a
// ranked queue under overload. Every host and every service ranks it alike, so that all of them
// refuse the same requests. A query over many shards is worth nothing when
// each shard is refused for another request.
func Rank(requestID string) float64 {
	const bits = 53 // of a float64's fraction
	return float64(xxhash.Sum64String(requestID)>>(64-bits)) / (1 << bits)
}
