// Package host builds one host of the system from its settings: every module,
// wired by name, and the order of a graceful stop.
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
	"rhubarbwood.example/rhubarbwood/internal/objstore"
	"rhubarbwood.example/rhubarbwood/internal/relay"
	"rhubarbwood.example/rhubarbwood/internal/settings"
	"rhubarbwood.example/rhubarbwood/internal/unit"
)

// Settings are the settings of one host. Each part with rules of its own is the
// Config of the package that uses it.
type Settings struct {
	ID            string     `json:"host"`           // name of the host, the same at each start
	FailureDomain string     `json:"failure_domain"` // failure domain that the host stands in, named as in the services' targets
	Addresses     Addresses  `json:"addresses"`
	Operators     []Operator `json:"operators"`
	Log           Log        `json:"log"`
	Stop          Stop       `json:"stop"`

	Platform objstore.Config `json:"platform"`
	Member   member.Config   `json:"member"`
	Catalog  catalog.Config  `json:"catalog"`
	Relay    relay.Config    `json:"relay"`
	Claim    claim.Config    `json:"claim"`
	Delivery delivery.Config `json:"delivery"`
	Entry    entry.Config    `json:"entry"`
	API      api.Config      `json:"api"`
}

// Addresses are where the host listens, each an IP address with a port; port
// 0 takes a free one. They are told to others as they stand, so none may be
// the unspecified address.
type Addresses struct {
	Callers   string `json:"callers"`   // address of the callers' API and health
	Operators string `json:"operators"` // address of the operators' API, health and metrics
	Peers     string `json:"peers"`     // address that other hosts call
}

// Operator is a person or program that may run statements.
type Operator struct {
	Name  string          `json:"name"`  // name that changes made by this operator are recorded under
	Token settings.Secret `json:"token"` // bearer token, at least 16 characters
}

// Log is what is logged.
type Log struct {
	Level string `json:"level"` // least level that is logged: debug, info, warn or error
}

// Stop is how the host leaves.
type Stop struct {
	BalancerLag   unit.Duration `json:"balancer_lag"`   // how long the balancer goes on sending callers after readiness fails
	ModuleTimeout unit.Duration `json:"module_timeout"` // longest that one module may take to stop
	HardLimit     unit.Duration `json:"hard_limit"`     // time after which the process ends and says what it cut off
}

// Bounds of the settings.
const (
	minTokenLength = 16
	maxBalancerLag = time.Minute
	maxHardLimit   = 10 * time.Minute
)

// DefaultSettings returns the defaults. It lacks what only the operator knows:
// id, failure domain, addresses, token and the platform's address.
func DefaultSettings() Settings {
	return Settings{
		Log: Log{Level: "info"},
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

var validName = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// Validate checks the host's own fields and what several parts must agree on;
// the parts check themselves.
func (s Settings) Validate() error {
	return errors.Join(
		CheckName("host", s.ID),
		CheckName("failure_domain", s.FailureDomain),
		s.checkStop(),
	)
}

// checkStop makes sure that a stop has the time to end every request in
// flight, however long its budget.
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

// CheckName checks the name of a host, a failure domain or an operator.
func CheckName(field, value string) error {
	if value == "" {
		return fmt.Errorf("%s is missing; want a name such as \"salt-lake-1\"", field)
	}
	if !validName.MatchString(value) {
		return fmt.Errorf("%s %q: want 1 to 63 lower-case letters, digits, dots or dashes", field, value)
	}
	return nil
}

// Validate checks that every address is there and can be told to others.
func (a Addresses) Validate() error {
	return errors.Join(
		settings.CheckAddress("callers", a.Callers),
		settings.CheckAddress("operators", a.Operators),
		settings.CheckAddress("peers", a.Peers),
	)
}

// Validate checks the name, and that the token can't be guessed.
func (o Operator) Validate() error {
	return errors.Join(CheckName("name", o.Name), o.checkToken())
}

func (o Operator) checkToken() error {
	if len(o.Token) >= minTokenLength {
		return nil
	}
	return fmt.Errorf("token: want at least %d characters, got %d", minTokenLength, len(o.Token))
}

// Validate checks that the level is a known one.
func (l Log) Validate() error {
	switch l.Level {
	case "debug", "info", "warn", "error":
		return nil
	}
	return fmt.Errorf("level %q: want debug, info, warn or error", l.Level)
}

// Plog returns the level in the form of the log library.
func (l Log) Plog() plog.Level { return plog.ParseLevel(l.Level) }

// Validate checks the ranges.
func (s Stop) Validate() error {
	return errors.Join(
		checkRange("balancer_lag", s.BalancerLag, 0, maxBalancerLag),
		checkRange("module_timeout", s.ModuleTimeout, time.Millisecond, maxHardLimit),
		checkRange("hard_limit", s.HardLimit, time.Second, maxHardLimit),
	)
}

func checkRange(field string, d unit.Duration, low, high time.Duration) error {
	if d.Std() >= low && d.Std() <= high {
		return nil
	}
	return fmt.Errorf("%s %s: want %s to %s", field, d, low, high)
}
