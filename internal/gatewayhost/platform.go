package gatewayhost

import (
	"rhubarbwood.example/rhubarbwood/internal/discovery"
	"rhubarbwood.example/rhubarbwood/internal/gateway"
	"rhubarbwood.example/rhubarbwood/internal/objstore"
	"rhubarbwood.example/rhubarbwood/platform"
)

// Platform is what a host needs of the platform that it runs on.
type Platform struct {
	// Records opens the object API at the addresses of the settings.
	Records  func(objstore.Config) objstore.Records
	Source   func(objstore.Records) discovery.Source
	Messages gateway.Messages
}

// OnPlatform returns what a host needs of the users' platform.
func OnPlatform() Platform {
	return Platform{
		Records: func(c objstore.Config) objstore.Records {
			return platform.NewObjects(c.Timeout.Std(), c.Addresses...)
		},
		Source:   func(r objstore.Records) discovery.Source { return platform.NewSource(r) },
		Messages: platform.Messages{},
	}
}
