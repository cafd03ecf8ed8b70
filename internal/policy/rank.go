package policy

import "github.com/cespare/xxhash/v2"

// Rank maps a request id to [0, 1); under overload a ranked queue serves the
// lower rank first. Every host and service computes the same rank, so that all
// of them refuse the same requests: a query over many shards is worthless if
// each shard refuses another request.
func Rank(requestID string) float64 {
	const bits = 53 // of a float64's fraction
	return float64(xxhash.Sum64String(requestID)>>(64-bits)) / (1 << bits)
}
