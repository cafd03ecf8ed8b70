package policy

import "time"

const (
	minRepeatDelay = 4 * time.Millisecond
	maxRepeatDelay = 64 * time.Millisecond // a target that is full has a free slot within a few requests' work
)

// RepeatDelay returns how long to wait before a request is sent again to a target that rejected it,
// after a number of such delays. It doubles with each, and is spread over plus or minus half of it, so
// that requests rejected together do not return together. draw is a random number in [0, 1).
//
// It serves the load pattern of targets that reject a part of their requests at once, for seconds.
func RepeatDelay(repeats int, draw float64) time.Duration {
	delay := minRepeatDelay
	for ; repeats > 0 && delay < maxRepeatDelay; repeats-- {
		delay *= 2
	}
	return time.Duration((0.5 + draw) * float64(delay))
}
