package platformtarget

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"

	"github.com/zeebo/errs"

	"rhubarbwood.example/rhubarbwood/internal/standin"
	"rhubarbwood.example/rhubarbwood/internal/standin/objectstore"
	"rhubarbwood.example/rhubarbwood/platform"
)

// Error is the class of errors of this package.
var Error = errs.Class("platformtarget")

// Sizes and route settings of the site.
const (
	siteShards            = 4
	siteTargetsPerService = 2
	siteSlotsPerTarget    = 4
	siteRecordsPerAnswer  = 20
	siteTopK              = 5

	siteConfigVersion   = 1
	siteTimeoutMs       = 600
	siteLatencyTargetMs = 100
	siteMaxConnections  = 100
	siteMinSuccessShare = 0.5
)

// Host name and path prefixes of the site's routes.
const (
	SiteHost       = "lists.example"
	SiteQueryPath  = "/lists/" // route to all shards
	SiteSinglePath = "/gifts/" // non-idempotent route to one service
)

// Site is a set of targets on loopback, registered in a store stand-in together with a
// configuration that routes requests to them.
type Site struct {
	servers []*http.Server
	serving sync.WaitGroup
}

// StartSite starts the targets and writes their registrations and the configuration to the store.
func StartSite(store *objectstore.Store, domains []string, latency standin.Latency) (*Site, error) {
	s := &Site{}
	config := platform.Config{Version: siteConfigVersion}
	query := platform.Route{
		Name: "lists", Hostname: SiteHost, PathPrefix: SiteQueryPath, Type: platform.TypeIdempotent,
		TimeoutMs: siteTimeoutMs, TargetLatencyMs: siteLatencyTargetMs, MaxAttempts: 2, TopK: siteTopK, MinSuccessShare: siteMinSuccessShare,
	}
	single := platform.Route{
		Name: "gifts", Hostname: SiteHost, PathPrefix: SiteSinglePath, Type: platform.TypeNonIdempotent, Service: "gifts",
		TimeoutMs: siteTimeoutMs, TargetLatencyMs: siteLatencyTargetMs, MaxAttempts: 2,
	}
	services := []string{single.Service}
	for i := range siteShards {
		services = append(services, fmt.Sprintf("lists-%d", i))
	}
	query.Shards = services[1:]
	for _, name := range services {
		config.Services = append(config.Services, platform.Service{Name: name, HealthCheckPath: pathHealth, MaxConnections: siteMaxConnections})
		for i := range siteTargetsPerService {
			if err := s.start(store, name, fmt.Sprintf("%s-t%d", name, i), domains[i%len(domains)], latency); err != nil {
				return nil, errors.Join(err, s.Stop(context.Background()))
			}
		}
	}
	config.Routes = []platform.Route{query, single}
	return s, apply(store, platform.KindConfig, platform.NameConfig, config)
}

// start starts one target and registers it.
func (s *Site) start(store *objectstore.Store, service, id, domain string, latency standin.Latency) error {
	target := New(Config{ID: id, Service: service, Slots: siteSlotsPerTarget, Queue: siteSlotsPerTarget, Records: siteRecordsPerAnswer, Latency: latency})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return Error.New("listen for target %s: %w", id, err)
	}
	server := &http.Server{Handler: target}
	s.servers = append(s.servers, server)
	s.serving.Go(func() { _ = server.Serve(ln) }) // returns at Stop
	return apply(store, platform.KindTargets, id, target.Registration(ln.Addr().String(), domain))
}

func apply(store *objectstore.Store, kind, name string, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return Error.New("encode %s/%s: %w", kind, name, err)
	}
	store.Apply(kind, name, text)
	return nil
}

// Stop shuts down the targets.
func (s *Site) Stop(ctx context.Context) error {
	var problems []error
	for _, server := range s.servers {
		problems = append(problems, server.Shutdown(ctx))
	}
	s.serving.Wait()
	return Error.Wrap(errors.Join(problems...))
}
