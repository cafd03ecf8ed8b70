// Package demo runs a small site in one process over loopback sockets: a
// stand-in for the platform, eight targets, three hosts and a gateway host. It
// serves the demo command and the tests of the documentation, and is not meant
// for production. Begin reading at Start.
package demo

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/gatewayhost"
	"rhubarbwood.example/rhubarbwood/internal/host"
	"rhubarbwood.example/rhubarbwood/internal/settings"
	"rhubarbwood.example/rhubarbwood/internal/standin"
	"rhubarbwood.example/rhubarbwood/internal/standin/fixture"
	"rhubarbwood.example/rhubarbwood/internal/standin/objectstore"
	"rhubarbwood.example/rhubarbwood/internal/standin/platformtarget"
	"rhubarbwood.example/rhubarbwood/internal/standin/target"
	"rhubarbwood.example/rhubarbwood/internal/unit"
)

// Error is the class of this package's errors.
var Error = errs.Class("demo")

const (
	freePort  = "127.0.0.1:0"
	hostCount = 3

	readyTimeout         = 10 * time.Second
	forwardTargetLatency = 5 * time.Millisecond // mean latency of the targets behind the gateway host

	// The stand-in for the platform keeps copies of its state, so that a restore
	// from an older copy can be simulated.
	copyInterval  = 500 * time.Millisecond
	copyRetention = 10 * time.Second
)

// Token is the operator token of the demo.
const Token = "token-of-the-demo"

// Options are the addresses of the first host and the logs. The other hosts
// use free ports.
type Options struct {
	Callers   string
	Operators string
	Log       func(host string) *event.Log
}

// Site is a running demo.
type Site struct {
	layout         fixture.Layout
	hosts          []*host.Host
	gateway        *gatewayhost.Host
	forwardTargets *platformtarget.Site
	platform       string // address of the stand-in for the platform
	standins       []standin.Server
	serving        sync.WaitGroup
}

// Start starts the whole site. If a part fails to start, it stops the others.
func Start(ctx context.Context, o Options) (*Site, error) {
	s := &Site{}
	if err := s.start(ctx, o); err != nil {
		return nil, errors.Join(Error.Wrap(err), s.Stop(context.WithoutCancel(ctx)))
	}
	return s, nil
}

func (s *Site) start(ctx context.Context, o Options) error {
	if err := s.startTargets(); err != nil {
		return err
	}
	store, platform, err := s.startPlatform()
	if err != nil {
		return err
	}
	if err := s.startGateway(ctx, store, platform, o); err != nil {
		return err
	}
	for i := range hostCount {
		if err := s.startHost(ctx, s.hostSettings(i, platform, o), o); err != nil {
			return err
		}
	}
	return nil
}

// startTargets starts the targets on free ports and stores the layout with
// their addresses.
func (s *Site) startTargets() error {
	addresses := map[string]string{}
	free := fixture.Options{Address: func(string) string { return freePort }}
	for _, c := range fixture.Demo(free).Targets {
		address, err := s.serve(target.NewServer(target.New(c)))
		if err != nil {
			return fmt.Errorf("target %s: %w", c.ID, err)
		}
		addresses[c.ID] = address
	}
	s.layout = fixture.Demo(fixture.Options{Address: func(id string) string { return addresses[id] }})
	return nil
}

func (s *Site) startPlatform() (*objectstore.Store, string, error) {
	c := objectstore.DefaultConfig()
	c.Seeds = s.layout.Seeds()
	c.BackupInterval, c.MaxBackupAge = unit.Duration(copyInterval), unit.Duration(copyRetention)
	store := objectstore.New(c)
	address, err := s.serve(objectstore.NewServer(store))
	if err != nil {
		return nil, "", fmt.Errorf("platform: %w", err)
	}
	s.platform = address
	return store, address, nil
}

// startGateway starts the gateway host and its targets, which are configured and
// registered in the store as on the users' platform.
func (s *Site) startGateway(ctx context.Context, store *objectstore.Store, address string, o Options) error {
	targets, err := platformtarget.StartSite(store, s.layout.Domains, standin.Latency{Mean: unit.Duration(forwardTargetLatency)})
	if err != nil {
		return err
	}
	s.forwardTargets = targets
	gs := gatewayhost.DefaultSettings()
	gs.ID = "gateway-1"
	gs.FailureDomain = s.layout.Domains[0]
	gs.Addresses = gatewayhost.Addresses{Callers: freePort, Readiness: freePort, Metrics: freePort, Peers: freePort}
	gs.Platform.Addresses = []string{address}
	gs.Stop.BalancerLag = 0 // there is no load balancer to wait for
	h, err := gatewayhost.New(gs, gatewayhost.UserPlatform(), o.Log(gs.ID))
	if err != nil {
		return err
	}
	if err := h.Start(ctx); err != nil {
		return err
	}
	s.gateway = h
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return h.WaitReady(ctx)
}

// Gateway returns the callers' address of the gateway host.
func (s *Site) Gateway() string { return s.gateway.Addresses().Callers }

// serve starts a stand-in on a free port and returns its address.
func (s *Site) serve(in standin.Server) (string, error) {
	ln, err := net.Listen("tcp", freePort)
	if err != nil {
		return "", err
	}
	s.standins = append(s.standins, in)
	s.serving.Go(func() { _ = in.Serve(ln) }) // returns after Shutdown
	return ln.Addr().String(), nil
}

func (s *Site) hostSettings(i int, platform string, o Options) host.Settings {
	domain := s.layout.Domains[i%len(s.layout.Domains)]
	hs := host.DefaultSettings()
	hs.ID = domain + "-1"
	hs.FailureDomain = domain
	hs.Addresses = host.Addresses{Callers: freePort, Operators: freePort, Peers: freePort}
	if i == 0 {
		hs.Addresses.Callers, hs.Addresses.Operators = o.Callers, o.Operators
	}
	hs.Operators = []host.Operator{{Name: "demo", Token: settings.Secret(Token)}}
	hs.Platform.Addresses = []string{platform}
	hs.Stop.BalancerLag = 0 // there is no load balancer to wait for
	return hs
}

func (s *Site) startHost(ctx context.Context, hs host.Settings, o Options) error {
	h, err := host.New(hs, o.Log(hs.ID))
	if err != nil {
		return fmt.Errorf("host %s: %w", hs.ID, err)
	}
	if err := h.Start(ctx); err != nil {
		return fmt.Errorf("host %s: %w", hs.ID, err)
	}
	s.hosts = append(s.hosts, h)
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return h.WaitReady(ctx)
}

// Hosts returns the addresses of the hosts.
func (s *Site) Hosts() []host.Addresses {
	all := make([]host.Addresses, len(s.hosts))
	for i, h := range s.hosts {
		all[i] = h.Addresses()
	}
	return all
}

// Platform returns the address of the stand-in for the platform.
func (s *Site) Platform() string { return s.platform }

// Targets returns the number of targets.
func (s *Site) Targets() int { return len(s.layout.Targets) }

// Stop stops the hosts gracefully, one after another, then the gateway host,
// its targets and the stand-ins.
func (s *Site) Stop(ctx context.Context) error {
	var problems []error
	for _, h := range s.hosts {
		problems = append(problems, h.Stop(ctx))
	}
	if s.gateway != nil {
		problems = append(problems, s.gateway.Stop(ctx))
	}
	if s.forwardTargets != nil {
		problems = append(problems, s.forwardTargets.Stop(ctx))
	}
	for _, in := range s.standins {
		problems = append(problems, in.Shutdown(ctx))
	}
	s.serving.Wait()
	return Error.Wrap(errors.Join(problems...))
}
