package gatewayhost

import (
	"rhubarbwood.example/rhubarbwood/internal/discovery"
	"rhubarbwood.example/rhubarbwood/internal/gateway"
	"rhubarbwood.example/rhubarbwood/internal/membudget"
	"rhubarbwood.example/rhubarbwood/internal/objstore"
	"rhubarbwood.example/rhubarbwood/internal/rollouts"
	"rhubarbwood.example/rhubarbwood/platform"
)

// Platform is the interface of a host to the platform that it runs on.
type Platform struct {
	// Records returns a client of the object API at the addresses of the settings. What its responses hold is charged
	// to the budget; nil: no limit.
	Records func(objstore.Config, *membudget.Budget) objstore.Records
	// Source returns the configuration and the target registry in the records.
	Source func(objstore.Records) discovery.Source
	// Statuses writes the status of rollout orders in the records.
	Statuses func(objstore.Records) rollouts.Statuses
	Messages gateway.Messages // names and formats of the HTTP headers
}

// UserPlatform returns the adapter to the users' platform.
func UserPlatform() Platform {
	return Platform{
		Records: func(c objstore.Config, memory *membudget.Budget) objstore.Records {
			o := platform.NewObjects(c.Timeout.Std(), c.Addresses...)
			o.LimitMemory(memory)
			return o
		},
		Source:   func(r objstore.Records) discovery.Source { return platform.NewSource(r) },
		Statuses: func(r objstore.Records) rollouts.Statuses { return platform.NewSource(r) },
		Messages: platform.Messages{},
	}
}
