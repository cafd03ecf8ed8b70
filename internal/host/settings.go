package host

import (
	"errors"
	"fmt"
	"regexp"
	"time"

	plog "github.com/phuslu/log"

	"rhubarbwood.example/rhubarbwood/internal/api"
	"rhubarbwood.example/rhubarbwood/internal/catalog"
	"rhubarbwood.example/rhubarbwood/internal/claim"
	"rhubarbwood.example/rhubarbwood/internal/delivery"
	"rhubarbwood.example/rhubarbwood/internal/entry"
	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/membudget"
	"rhubarbwood.example/rhubarbwood/internal/objstore"
	"rhubarbwood.example/rhubarbwood/internal/relay"
	"rhubarbwood.example/rhubarbwood/internal/settings"
	"rhubarbwood.example/rhubarbwood/internal/unit"
)

// Settings are the settings of one host. The section of a package is that
// package's Config, which validates itself.
type Settings struct {
	ID            string           `json:"host"`           // name of the host, the same at each start
	FailureDomain string           `json:"failure_domain"` // failure domain that the host stands in, named as in the services' targets
	Addresses     Addresses        `json:"addresses"`
	Operators     []Operator       `json:"operators"`
	Log           Log              `json:"log"`
	Stop          Stop             `json:"stop"`
	Memory        membudget.Config `json:"memory"` // of the process

	Platform objstore.Config `json:"platform"`
	Member   member.Config   `json:"member"`
	Catalog  catalog.Config  `json:"catalog"`
	Relay    relay.Config    `json:"relay"`
	Claim    claim.Config    `json:"claim"`
	Delivery delivery.Config `json:"delivery"`
	Entry    entry.Config    `json:"entry"`
	API      api.Config      `json:"api"`
}

// Addresses are the addresses that the host listens on, each an IP address with
// a port; port 0 selects a free port. The host publishes them for others to
// connect to, so none may be the unspecified address.
type Addresses struct {
	Callers   string `json:"callers"`   // address of the callers' API and health
	Operators string `json:"operators"` // address of the operators' API, health and metrics
	Peers     string `json:"peers"`     // address that other hosts call
}

// Operator is a person or program that is authorized to run statements.
type Operator struct {
	Name  string          `json:"name"`  // name that changes made by this operator are recorded under
	Token settings.Secret `json:"token"` // bearer token, at least 16 characters
}

// Log holds the settings of the log.
type Log struct {
	Level string `json:"level"` // least level that is logged: debug, info, warn or error
}

// Stop holds the settings of a graceful stop.
type Stop struct {
	BalancerLag   unit.Duration `json:"balancer_lag"`   // how long the balancer goes on sending callers after readiness fails
	ModuleTimeout unit.Duration `json:"module_timeout"` // longest that one module may take to stop
	HardLimit     unit.Duration `json:"hard_limit"`     // time after which the process ends and says what it cut off
}

// defaultMemoryMB is the memory of a host's process in MB.
const defaultMemoryMB = 1024

// Limits of the settings.
const (
	minTokenLength = 16
	maxBalancerLag = time.Minute
	maxHardLimit   = 10 * time.Minute
)

// DefaultSettings returns the default settings. Fields without a default stay
// empty: host, failure domain, addresses, operators and the platform's addresses.
func DefaultSettings() Settings {
	return Settings{
		Log:    Log{Level: "info"},
		Memory: membudget.Config{LimitMB: defaultMemoryMB},
		Stop: Stop{
			BalancerLag:   unit.Duration(5 * time.Second),
			ModuleTimeout: unit.Duration(35 * time.Second),
			HardLimit:     unit.Duration(time.Minute),
		},

		Platform: objstore.DefaultConfig(),
		Member:   member.DefaultConfig(),
		Catalog:  catalog.DefaultConfig(),
		Relay:    relay.DefaultConfig(),
		Claim:    claim.DefaultConfig(),
		Delivery: delivery.DefaultConfig(),
		Entry:    entry.DefaultConfig(),
		API:      api.DefaultConfig(),
	}
}

// validName matches the names that CheckName accepts.
var validName = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// Validate checks the host's own fields and the rules that span several sections.
// The sections validate themselves.
func (s Settings) Validate() error {
	return errors.Join(
		CheckName("host", s.ID),
		CheckName("failure_domain", s.FailureDomain),
		s.checkStop(),
	)
}

// checkStop checks that a stop allows enough time for every request in flight to
// complete, even one with the maximum budget.
func (s Settings) checkStop() error {
	budget := s.Entry.MaxBudget
	var problems []error
	if s.Stop.ModuleTimeout <= budget {
		problems = append(problems, fmt.Errorf("stop.module_timeout %s: want more than entry.max_budget, which is %s",
			s.Stop.ModuleTimeout, budget))
	}
	if least := s.Stop.BalancerLag + budget; s.Stop.HardLimit <= least {
		problems = append(problems, fmt.Errorf("stop.hard_limit %s: want more than balancer_lag and entry.max_budget together, which is %s",
			s.Stop.HardLimit, least))
	}
	return errors.Join(problems...)
}

// CheckName checks the name of a host, a failure domain or an operator. field
// names it in the error.
func CheckName(field, value string) error {
	if value == "" {
		return fmt.Errorf("%s is missing; want a name such as \"salt-lake-1\"", field)
	}
	if !validName.MatchString(value) {
		return fmt.Errorf("%s %q: want 1 to 63 lower-case letters, digits, dots or dashes", field, value)
	}
	return nil
}

// Validate checks that every address is set, valid and not the unspecified one.
func (a Addresses) Validate() error {
	return errors.Join(
		settings.CheckAddress("callers", a.Callers),
		settings.CheckAddress("operators", a.Operators),
		settings.CheckAddress("peers", a.Peers),
	)
}

// Validate checks the name and the minimum length of the token.
func (o Operator) Validate() error {
	return errors.Join(CheckName("name", o.Name), o.checkToken())
}

func (o Operator) checkToken() error {
	if len(o.Token) >= minTokenLength {
		return nil
	}
	return fmt.Errorf("token: want at least %d characters, got %d", minTokenLength, len(o.Token))
}

// Validate checks that the level is valid.
func (l Log) Validate() error {
	switch l.Level {
	case "debug", "info", "warn", "error":
		return nil
	}
	return fmt.Errorf("level %q: want debug, info, warn or error", l.Level)
}

// ParsedLevel returns the level as a level of the log library.
func (l Log) ParsedLevel() plog.Level { return plog.ParseLevel(l.Level) }

// Validate checks that the durations are in range.
func (s Stop) Validate() error {
	return errors.Join(
		checkRange("balancer_lag", s.BalancerLag, 0, maxBalancerLag),
		checkRange("module_timeout", s.ModuleTimeout, time.Millisecond, maxHardLimit),
		checkRange("hard_limit", s.HardLimit, time.Second, maxHardLimit),
	)
}

// checkRange returns an error unless low <= d <= high.
func checkRange(field string, d unit.Duration, low, high time.Duration) error {
	if d.Std() >= low && d.Std() <= high {
		return nil
	}
	return fmt.Errorf("%s %s: want %s to %s", field, d, low, high)
}
