package membudget

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("memory budget")

// Config sets the memory of the process.
type Config struct {
	LimitMB float64 `json:"limit_mb"` // memory of the process in MB of 2^20 bytes, above which it is ended from outside; 0: not known
}

const (
	defaultLimitMB = 256 // also where it is not known
	minLimitMB     = 32  // a host without load takes about 25 MB
)

// DefaultConfig returns the default configuration.
func DefaultConfig() Config { return Config{LimitMB: defaultLimitMB} }

// Validate checks that the memory suffices for a host.
func (c Config) Validate() error {
	if c.LimitMB != 0 && c.LimitMB < minLimitMB {
		return Error.New("limit_mb %g: want 0 or at least %d", c.LimitMB, minLimitMB)
	}
	return nil
}

// Limit returns the memory of the process in bytes.
func (c Config) Limit() int64 {
	if c.LimitMB == 0 {
		c.LimitMB = defaultLimitMB
	}
	return int64(c.LimitMB * (1 << 20))
}

// heapShare is the share of the process's memory at which the garbage collector runs as often as needed. The rest
// is for what the Go runtime does not manage.
const heapShare = 0.8

// HeapLimit returns the soft limit of the Go runtime's memory in bytes.
func (c Config) HeapLimit() int64 { return int64(heapShare * float64(c.Limit())) }

// budgetFraction is the part of the process's memory that the budget of one source has. The budgets together take
// half of the memory; the collector lets as much garbage accumulate as the rest allows.
const budgetFraction = 8

// Budgets are the budgets of a process, one for each source of messages.
type Budgets struct {
	Targets *Budget // responses of targets
	Callers *Budget // requests of callers
	Peers   *Budget // messages of other hosts
	Store   *Budget // responses of the platform's store
}

// New returns the budgets of a process with the configuration, which must be valid.
func New(c Config, reg prometheus.Registerer) *Budgets {
	budget := func(source string) *Budget {
		b := NewBudget(source, c.Limit()/budgetFraction)
		b.register(reg)
		return b
	}
	return &Budgets{Targets: budget("targets"), Callers: budget("callers"), Peers: budget("peers"), Store: budget("store")}
}
