package rollout

import (
	"math"
	"time"
)

const (
	// histogramBuckets is the number of buckets of a Histogram: the last one begins at 17 s.
	histogramBuckets = 30
	// histogramFirst is the upper bound of the first bucket.
	histogramFirst = time.Millisecond
	// histogramGrowth is the ratio of the bounds of two neighboring buckets.
	histogramGrowth = 1.4142135623730951
)

// Histogram counts latencies in buckets whose bounds grow by a factor of the square root of 2,
// beginning with 1 ms.
type Histogram [histogramBuckets]uint32

// Observe counts one latency.
func (h *Histogram) Observe(latency time.Duration) { h[bucketOf(latency)]++ }

// bucketOf returns the bucket of a latency.
func bucketOf(latency time.Duration) int {
	if latency <= histogramFirst {
		return 0
	}
	n := int(math.Ceil(math.Log(float64(latency)/float64(histogramFirst)) / math.Log(histogramGrowth)))
	return min(n, histogramBuckets-1)
}
