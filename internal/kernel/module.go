// Package kernel starts and stops the modules of a host. Modules find each
// other by name; a module starts after those it depends on and stops before
// them.
package kernel

import "context"

// Module is one part of a host. Start returns when the module is ready for
// those that depend on it, and must not keep ctx. Stop ends what Start began
// and returns when it has ended, or with an error when ctx is done first.
type Module interface {
	Start(ctx context.Context) error
	Stop(ctx context.Context) error
}
