// Package await waits for a time or for goroutines, and no longer than a
// context lasts.
package await

import (
	"context"
	"sync"
	"time"
)

// Sleep waits for d. It reports false if ctx was done first.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Group waits for the group. It returns the error of ctx if that was done
// first; a goroutine then goes on waiting until the group is done.
func Group(ctx context.Context, g *sync.WaitGroup) error {
	ended := make(chan struct{})
	go func() {
		g.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// readyPoll is the time between two looks of Ready.
const readyPoll = 5 * time.Millisecond

// Ready waits until ready returns nil, or returns its error when ctx is done.
func Ready(ctx context.Context, ready func() error) error {
	for {
		err := ready()
		if err == nil || ctx.Err() != nil {
			return err
		}
		Sleep(ctx, readyPoll)
	}
}
