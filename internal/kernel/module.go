package kernel

import "context"

// Module is a component of a host with its own start and stop. Start returns
// once the modules that depend on it may use it; it must not retain ctx. Stop
// shuts down everything that Start launched and returns when that is complete,
// or with an error if ctx ends first.
type Module interface {
	Start(ctx context.Context) error
	Stop(ctx context.Context) error
}
