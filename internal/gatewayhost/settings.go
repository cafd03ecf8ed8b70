// Package gatewayhost builds a host that forwards requests by the
// configuration in a store: its modules, wired by name, and a graceful stop.
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
	"rhubarbwood.example/rhubarbwood/internal/objstore"
	"rhubarbwood.example/rhubarbwood/internal/quarantine"
	"rhubarbwood.example/rhubarbwood/internal/settings"
	"rhubarbwood.example/rhubarbwood/internal/unit"
)

// Error is the class of this package's errors.
var Error = errs.Class("gateway host")

// Settings are the settings of one host.
type Settings struct {
	ID            string    `json:"host"`           // name of the host, the same at each start
	FailureDomain string    `json:"failure_domain"` // failure domain that the host stands in
	Addresses     Addresses `json:"addresses"`
	LinkMbps      float64   `json:"link_mbps"` // rate of the network link, in Mbit/s; 0: not known
	Log           host.Log  `json:"log"`
	Stop          Stop      `json:"stop"`

	Platform  objstore.Config  `json:"platform"`
	Member    member.Config    `json:"member"`
	Delivery  delivery.Config  `json:"delivery"`
	Discovery discovery.Config `json:"discovery"`
	Gateway   gateway.Config   `json:"gateway"`
	// Quarantine is how long requests are kept from targets that end under them.
	Quarantine quarantine.Config `json:"quarantine"`
}

// Addresses are where the host listens, each an IP address with a port.
type Addresses struct {
	Callers   string `json:"callers"`   // requests to forward
	Readiness string `json:"readiness"` // the balancer's question
	Metrics   string `json:"metrics"`   // counters and histograms
	Peers     string `json:"peers"`     // calls of other hosts
}

// Stop is how the host leaves.
type Stop struct {
	// Grace is the time from the signal to the forced end of the process.
	Grace unit.Duration `json:"grace"`
	// BalancerLag is how long new connections still come after readiness fails.
	BalancerLag unit.Duration `json:"balancer_lag"`
}

// Defaults of the settings.
const (
	defaultGrace = 6 * time.Second
	// defaultBalancerLag covers two missed questions, a second apart, the time
	// to open a connection, and a request on one that was just opened.
	defaultBalancerLag = 3700 * time.Millisecond
	// defaultRecordHolders is how many hosts can be lost at once before a new
	// host must rely on the seeds.
	defaultRecordHolders = 8
	// exitMargin is kept of the grace for the end of the process itself.
	exitMargin = time.Second
)

// DefaultSettings returns the defaults. It lacks what only the site knows: id,
// failure domain, addresses and the platform's address.
func DefaultSettings() Settings {
	return Settings{
		Log: host.Log{Level: "info"},
		Stop: Stop{
			Grace:       unit.Duration(defaultGrace),
			BalancerLag: unit.Duration(defaultBalancerLag),
		},
		Platform:   objstore.DefaultConfig(),
		Member:     memberSettings(),
		Delivery:   deliverySettings(),
		Discovery:  discovery.DefaultConfig(),
		Gateway:    gateway.DefaultConfig(),
		Quarantine: quarantine.DefaultConfig(),
	}
}

// memberSettings are the defaults with few records in the platform, whose
// calls are paid for.
func memberSettings() member.Config {
	c := member.DefaultConfig()
	c.RecordHolders = defaultRecordHolders
	c.RecordKind = objstore.KindGateway
	return c
}

// Defaults of the delivery records. They are fewer and smaller than those of a
// host that serves searches itself: the platform's calls and a host's memory are
// paid for.
const (
	// defaultWindow, and no window at the start, keep the records from growing the
	// calls to the store: 71 hosts made 409 calls on a calm day of 38 s with a window
	// a minute and one at the start.
	defaultWindow       = 2 * time.Minute
	defaultMaxKeys      = 400 // callers times routes; the rest is folded and counted
	defaultMaxRecords   = 200
	defaultDeliveryStop = 500 * time.Millisecond // within the exit margin of a stop
)

func deliverySettings() delivery.Config {
	c := delivery.DefaultConfig()
	c.MinInterval = unit.Duration(defaultWindow)
	c.AnnounceStart = false
	c.MaxKeys = defaultMaxKeys
	c.MaxExceptions = defaultMaxRecords
	c.StopTimeout = unit.Duration(defaultDeliveryStop)
	return c
}

// Validate checks the host's own fields; the parts check themselves.
func (s Settings) Validate() error {
	return errors.Join(host.CheckName("host", s.ID), host.CheckName("failure_domain", s.FailureDomain), s.checkLink())
}

func (s Settings) checkLink() error {
	if s.LinkMbps < 0 || s.LinkMbps > math.MaxUint32 {
		return Error.New("link_mbps %g: want 0 to %d", s.LinkMbps, uint32(math.MaxUint32))
	}
	return nil
}

// Validate checks that every address is there.
func (a Addresses) Validate() error {
	return errors.Join(
		settings.CheckAddress("callers", a.Callers),
		settings.CheckAddress("readiness", a.Readiness),
		settings.CheckAddress("metrics", a.Metrics),
		settings.CheckAddress("peers", a.Peers),
	)
}

// Validate checks that a stop has the time it needs.
func (s Stop) Validate() error {
	if s.BalancerLag < 0 || s.Grace.Std() <= s.BalancerLag.Std()+exitMargin {
		return Error.New("grace %s: want more than balancer_lag and %s together, which is %s",
			s.Grace, exitMargin, s.BalancerLag.Std()+exitMargin)
	}
	return nil
}
