package cli

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/gatewayhost"
	"rhubarbwood.example/rhubarbwood/internal/objstore"
)

// recordsTimeout limits the total time of a command's calls to the store.
const recordsTimeout = 10 * time.Second

// withRecords connects to the store named in the settings of a host, calls use,
// and disconnects.
func withRecords(s gatewayhost.Settings, use func(context.Context, objstore.Records) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), recordsTimeout)
	defer cancel()
	records := objstore.NewLimitedRecords(s.Platform, gatewayhost.UserPlatform().Records(s.Platform, nil), event.Discard(), prometheus.NewRegistry())
	defer records.Close()
	return use(ctx, records)
}
