package gatewayhost

import (
	"errors"
	"math"
	"time"

	"github.com/zeebo/errs"

	"rhubarbwood.example/rhubarbwood/internal/delivery"
	"rhubarbwood.example/rhubarbwood/internal/discovery"
	"rhubarbwood.example/rhubarbwood/internal/gateway"
	"rhubarbwood.example/rhubarbwood/internal/host"
	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/membudget"
	"rhubarbwood.example/rhubarbwood/internal/objstore"
	"rhubarbwood.example/rhubarbwood/internal/quarantine"
	"rhubarbwood.example/rhubarbwood/internal/rollout"
	"rhubarbwood.example/rhubarbwood/internal/settings"
	"rhubarbwood.example/rhubarbwood/internal/unit"
)

// Error is the class of this package's errors.
var Error = errs.Class("gateway host")

// Settings are the settings of one host.
type Settings struct {
	ID            string           `json:"host"`           // name of the host, stable across restarts
	FailureDomain string           `json:"failure_domain"` // failure domain of the host
	Addresses     Addresses        `json:"addresses"`
	LinkMbps      float64          `json:"link_mbps"` // bandwidth of the network link, in Mbit/s; 0: unknown
	Log           host.Log         `json:"log"`
	Memory        membudget.Config `json:"memory"`
	Stop          Stop             `json:"stop"`

	Platform  objstore.Config  `json:"platform"`
	Member    member.Config    `json:"member"`
	Delivery  delivery.Config  `json:"delivery"`
	Discovery discovery.Config `json:"discovery"`
	Gateway   gateway.Config   `json:"gateway"`
	// Quarantine sets how long requests that crash targets are withheld from them.
	Quarantine quarantine.Config `json:"quarantine"`
	// Rollout sets the bounds of rollouts of target versions; without them orders are not followed.
	Rollout rollout.Config `json:"rollout"`
}

// Addresses are the listen addresses of the host, each an IP address with a port.
type Addresses struct {
	Callers   string `json:"callers"`   // requests to forward
	Readiness string `json:"readiness"` // readiness checks of the load balancer
	Metrics   string `json:"metrics"`   // counters and histograms
	Peers     string `json:"peers"`     // RPCs of other hosts
}

// Stop are the settings of a graceful stop.
type Stop struct {
	// Grace is the time from the stop signal to the forced end of the process.
	Grace unit.Duration `json:"grace"`
	// BalancerLag is how long the load balancer still sends new connections after readiness fails.
	BalancerLag unit.Duration `json:"balancer_lag"`
}

// Defaults of the settings.
const (
	defaultStopGrace = 6 * time.Second
	// defaultBalancerLag covers two failed readiness checks, a second apart, the time
	// to open a connection, and a request on a connection that was just opened.
	defaultBalancerLag = 3700 * time.Millisecond
	// defaultRecordHolders is the number of hosts with a record in the object store. If
	// all of them are lost at once, a new host finds other hosts by its seeds only.
	defaultRecordHolders = 8
	// exitMargin is the part of the grace reserved for the exit of the process itself.
	exitMargin = time.Second
	// finalAnswerTime is the time before exitMargin in which the requests still in flight are answered.
	finalAnswerTime = 200 * time.Millisecond
)

// DefaultSettings returns the defaults. Values that depend on the site are not set:
// id, failure domain, addresses and the platform's address.
func DefaultSettings() Settings {
	return Settings{
		Log:    host.Log{Level: "info"},
		Memory: membudget.DefaultConfig(),
		Stop: Stop{
			Grace:       unit.Duration(defaultStopGrace),
			BalancerLag: unit.Duration(defaultBalancerLag),
		},
		Platform:   objstore.DefaultConfig(),
		Member:     defaultMemberConfig(),
		Delivery:   defaultDeliveryConfig(),
		Discovery:  discovery.DefaultConfig(),
		Gateway:    gateway.DefaultConfig(),
		Quarantine: quarantine.DefaultConfig(),
		Rollout:    rollout.DefaultConfig(),
	}
}

// defaultMemberConfig returns the member defaults with few records in the platform's
// object store, since its calls are billed.
func defaultMemberConfig() member.Config {
	c := member.DefaultConfig()
	c.RecordHolders = defaultRecordHolders
	c.RecordKind = objstore.KindGateway
	return c
}

// Defaults of the delivery records. They are fewer and smaller than those of a
// host that serves searches itself, since the platform's calls and a host's memory
// are billed.
const (
	// defaultDeliveryWindow, and no window at the start, limit the calls to the object
	// store: with one window per minute and one at the start, 71 hosts made 409 calls in
	// a fault-free run of 38 s.
	defaultDeliveryWindow      = 2 * time.Minute
	defaultMaxKeys             = 400 // pairs of a caller and a route; further ones are merged and counted
	defaultMaxExceptions       = 200
	defaultDeliveryStopTimeout = 500 * time.Millisecond // less than exitMargin
)

func defaultDeliveryConfig() delivery.Config {
	c := delivery.DefaultConfig()
	c.MinInterval = unit.Duration(defaultDeliveryWindow)
	c.AnnounceStart = false
	c.MaxKeys = defaultMaxKeys
	c.MaxExceptions = defaultMaxExceptions
	c.StopTimeout = unit.Duration(defaultDeliveryStopTimeout)
	return c
}

// discoveryConfig returns the settings for following the store. Orders and versions are followed if the
// settings hold the bounds of rollouts.
func (s Settings) discoveryConfig() discovery.Config {
	c := s.Discovery
	c.FollowRollouts, c.RollBackWithin = s.Rollout.Enabled(), s.Rollout.RollbackWithin
	return c
}

// Validate checks the host's own fields; each nested configuration has its own Validate.
func (s Settings) Validate() error {
	return errors.Join(host.CheckName("host", s.ID), host.CheckName("failure_domain", s.FailureDomain), s.validateLink())
}

func (s Settings) validateLink() error {
	if s.LinkMbps < 0 || s.LinkMbps > math.MaxUint32 {
		return Error.New("link_mbps %g: want 0 to %d", s.LinkMbps, uint32(math.MaxUint32))
	}
	return nil
}

// Validate checks that every address is set and valid.
func (a Addresses) Validate() error {
	return errors.Join(
		settings.CheckAddress("callers", a.Callers),
		settings.CheckAddress("readiness", a.Readiness),
		settings.CheckAddress("metrics", a.Metrics),
		settings.CheckAddress("peers", a.Peers),
	)
}

// requestTime returns the time from the stop signal until requests still in flight are answered without a result.
func (s Stop) requestTime() time.Duration { return s.Grace.Std() - exitMargin - finalAnswerTime }

// Validate checks that the grace covers the balancer lag and the exit margin.
func (s Stop) Validate() error {
	if s.BalancerLag < 0 || s.Grace.Std() <= s.BalancerLag.Std()+exitMargin {
		return Error.New("grace %s: must exceed balancer_lag plus %s, which is %s",
			s.Grace, exitMargin, s.BalancerLag.Std()+exitMargin)
	}
	return nil
}
