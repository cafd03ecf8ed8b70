package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"rhubarbwood.example/rhubarbwood/internal/catalog"
	"rhubarbwood.example/rhubarbwood/internal/delivery"
	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/host"
	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/objstore"
	"rhubarbwood.example/rhubarbwood/internal/settings"
	"rhubarbwood.example/rhubarbwood/platform"
)

// plotTimeout limits the time for reading all delivery windows.
const plotTimeout = time.Minute

type plotCommand struct {
	env      Env
	Settings string        `long:"settings" required:"true" description:"Settings file of a host; names the addresses of the platform"`
	Since    time.Duration `long:"since" default:"6h" description:"Length of the period to plot, up to now"`
	Format   string        `long:"format" choice:"svg" choice:"png" default:"svg" description:"Image format"`
	Out      string        `long:"out" required:"true" description:"Output file"`
}

// Execute reads the delivery windows from the platform and plots the error
// budget burn of every objective. It needs no running host.
func (c *plotCommand) Execute([]string) error {
	s, err := settings.Load(c.Settings, host.DefaultSettings())
	if err != nil {
		return usageError(err)
	}
	records := platform.NewObjects(s.Platform.Timeout.Std(), s.Platform.Addresses...)
	store := objstore.New(objstore.NewLimitedRecords(s.Platform, records, event.Discard(), prometheus.NewRegistry()))
	ctx, cancel := context.WithTimeout(context.Background(), plotTimeout)
	defer cancel()
	var plot bytes.Buffer
	if err := c.draw(ctx, &plot, store, s.Delivery); err != nil {
		return exitErrorf(ExitFailed, "%s", err)
	}
	if err := os.WriteFile(c.Out, plot.Bytes(), 0o644); err != nil {
		return exitErrorf(ExitFailed, "write plot: %s", err)
	}
	return nil
}

func (c *plotCommand) draw(ctx context.Context, plot *bytes.Buffer, store objstore.Store, cfg delivery.Config) error {
	listing, err := store.List(ctx, objstore.KindService, objstore.KindMember)
	if err != nil {
		return Error.New("list services and members: %w", err)
	}
	services, view, err := readListing(listing)
	if err != nil {
		return err
	}
	reporter := delivery.NewReporter(cfg, store, view, event.Discard())
	series, complete, err := reporter.BurnSeries(ctx, delivery.Objectives(services), c.Since)
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(delivery.PlotBurn(plot, c.Format, series, complete))
}

func readListing(l objstore.Listing) ([]catalog.Service, recordedHosts, error) {
	var services []catalog.Service
	var hosts recordedHosts
	for _, o := range l.Objects {
		var err error
		switch o.Kind {
		case objstore.KindService:
			services, err = appendDecoded(services, o)
		case objstore.KindMember:
			hosts, err = appendDecoded(hosts, o)
		}
		if err != nil {
			return nil, nil, err
		}
	}
	return services, hosts, nil
}

func appendDecoded[T any, S ~[]T](to S, o objstore.Object) (S, error) {
	var v T
	if err := json.Unmarshal(o.Value, &v); err != nil {
		return nil, Error.New("decode object %s/%s: %w", o.Kind, o.Name, err)
	}
	return append(to, v), nil
}

// recordedHosts is the membership in the records of the platform. It
// implements member.View.
type recordedHosts []member.Host

// Self returns the zero value, as the command is not a member.
func (recordedHosts) Self() member.Host { return member.Host{} }

// Hosts implements member.View.
func (r recordedHosts) Hosts() []member.Host { return r }

// Count implements member.View.
func (r recordedHosts) Count() int { return len(r.Hosts()) }

// Generation is constant, as the records are read only once.
func (recordedHosts) Generation() uint64 { return 0 }
