package gateway

import (
	"slices"

	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/routing"
)

// regions tell in which region a failure domain lies. One that is not known lies in none.
type regions map[string]string

// inHomeRegions reports whether a failure domain lies in one of the homes of a route. A route without homes takes
// all; a domain whose region is not known is no home.
func (r regions) inHomeRegions(homes []string, domain string) bool {
	if len(homes) == 0 {
		return true
	}
	region, known := r[domain]
	return known && slices.Contains(homes, region)
}

// domainsAtHome returns the failure domains among some that lie in the homes of a route.
func (r regions) domainsAtHome(route *routing.Route, domains []string) []string {
	if len(route.Homes) == 0 {
		return domains
	}
	return slices.DeleteFunc(slices.Clone(domains), func(d string) bool { return !r.inHomeRegions(route.Homes, d) })
}

// hostsAtHome returns the hosts among some that may see the requests of a route.
func (r regions) hostsAtHome(route *routing.Route, hosts []member.Host) []member.Host {
	if len(route.Homes) == 0 {
		return hosts
	}
	return slices.DeleteFunc(slices.Clone(hosts), func(h member.Host) bool { return !r.inHomeRegions(route.Homes, h.FailureDomain) })
}
