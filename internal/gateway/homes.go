package gateway

import (
	"slices"

	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/routing"
)

// regions maps failure domains to regions. A domain that is not listed is in no region.
type regions map[string]string

// inHomeRegions reports whether a failure domain is in one of a route's home regions. A route
// without home regions allows all domains; otherwise a domain without a region is not allowed.
func (r regions) inHomeRegions(homes []string, domain string) bool {
	if len(homes) == 0 {
		return true
	}
	region, known := r[domain]
	return known && slices.Contains(homes, region)
}

// domainsAtHome returns those of the failure domains that are in a route's home regions.
func (r regions) domainsAtHome(route *routing.Route, domains []string) []string {
	if len(route.Homes) == 0 {
		return domains
	}
	return slices.DeleteFunc(slices.Clone(domains), func(d string) bool { return !r.inHomeRegions(route.Homes, d) })
}

// hostsAtHome returns those of the hosts that may process a route's requests.
func (r regions) hostsAtHome(route *routing.Route, hosts []member.Host) []member.Host {
	if len(route.Homes) == 0 {
		return hosts
	}
	return slices.DeleteFunc(slices.Clone(hosts), func(h member.Host) bool { return !r.inHomeRegions(route.Homes, h.FailureDomain) })
}
