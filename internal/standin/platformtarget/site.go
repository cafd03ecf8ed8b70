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

// Error is the class of this package's errors.
var Error = errs.Class("platformtarget")

// Sizes of the site.
const (
	siteShards   = 4
	siteReplicas = 2 // targets of each service
	siteSlots    = 4
	siteRecords  = 20
	siteTop      = 5

	siteVersion        = 1
	siteTimeoutMs      = 600
	siteObjectiveMs    = 100
	siteMaxConnections = 100
	siteMinShare       = 0.5
)

// Names of the site's routes.
const (
	SiteHost   = "lists.example"
	SiteQuery  = "/lists/" // to all shards
	SiteSingle = "/gifts/" // to one service, not idempotent
)

// Site is a few targets on loopback, registered in a store stand-in, with a
// configuration that routes to them.
type Site struct {
	servers []*http.Server
	serving sync.WaitGroup
}

// StartSite starts the targets and writes registry and configuration.
func StartSite(store *objectstore.Store, domains []string, latency standin.Latency) (*Site, error) {
	s := &Site{}
	config := platform.Config{Version: siteVersion}
	query := platform.Route{
		Name: "lists", Hostname: SiteHost, PathPrefix: SiteQuery, Type: platform.TypeIdempotent,
		TimeoutMs: siteTimeoutMs, TargetLatencyMs: siteObjectiveMs, MaxAttempts: 2, TopK: siteTop, MinSuccessShare: siteMinShare,
	}
	single := platform.Route{
		Name: "gifts", Hostname: SiteHost, PathPrefix: SiteSingle, Type: platform.TypeNonIdempotent, Service: "gifts",
		TimeoutMs: siteTimeoutMs, TargetLatencyMs: siteObjectiveMs, MaxAttempts: 2,
	}
	services := []string{single.Service}
	for i := range siteShards {
		services = append(services, fmt.Sprintf("lists-%d", i))
	}
	query.Shards = services[1:]
	for _, name := range services {
		config.Services = append(config.Services, platform.Service{Name: name, HealthCheckPath: pathHealth, MaxConnections: siteMaxConnections})
		for i := range siteReplicas {
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
	target := New(Config{ID: id, Service: service, Slots: siteSlots, Queue: siteSlots, Records: siteRecords, Latency: latency})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return Error.New("listen for target %s: %w", id, err)
	}
	server := &http.Server{Handler: target}
	s.servers = append(s.servers, server)
	s.serving.Go(func() { _ = server.Serve(ln) }) // ends at Stop
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

// Stop ends the targets.
func (s *Site) Stop(ctx context.Context) error {
	var problems []error
	for _, server := range s.servers {
		problems = append(problems, server.Shutdown(ctx))
	}
	s.serving.Wait()
	return Error.Wrap(errors.Join(problems...))
}
