// Package await waits for a duration, a condition or a group of goroutines, at
// most until a context is done.
package await

import (
	"context"
	"sync"
	"time"
)

// Sleep waits for d. It returns false if ctx was done first.
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

// Group waits for g. It returns the error of ctx if that was done first; a
// goroutine then stays until g is done.
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

// readyPollInterval is the time between two checks of Ready.
const readyPollInterval = 5 * time.Millisecond

// Ready polls ready until it returns nil; when ctx is done it returns the last
// error of ready.
func Ready(ctx context.Context, ready func() error) error {
	for {
		err := ready()
		if err == nil || ctx.Err() != nil {
			return err
		}
		Sleep(ctx, readyPollInterval)
	}
}
