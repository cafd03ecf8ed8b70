package platform

// The wire format of the object API, HTTP/JSON. The stand-in uses the same
// names; docs/PLATFORM.md describes them.
const (
	// PathObjects with GET ?kind=a&kind=b lists; /{kind}/{name} is one object
	// for GET, PUT and DELETE. A listing is a Listing, an object an Object.
	PathObjects = "/v1/objects"
	// PathWatch with GET ?kind=a&after=N&wait_ms=M waits for changes. 410 if
	// changes after N are gone.
	PathWatch = "/v1/watch"
	// PathHosts with GET is the list of hosts, []LiveHost.
	PathHosts = "/v1/hosts"

	// HeaderIfVersion carries the expected version of a PUT or DELETE, decimal;
	// 0 for an object that must not exist. 409 with the current Object, or with
	// version 0 and no value if there is none, when it differs.
	HeaderIfVersion = "X-If-Version"
	// HeaderTime is on every answer: the platform's clock, RFC 3339 with
	// nanoseconds.
	HeaderTime = "X-Platform-Time"
)

// MaxValue is the largest value of an object, in bytes.
const MaxValue = 1 << 20
