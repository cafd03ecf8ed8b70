package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"rhubarbwood.example/rhubarbwood/internal/event"
)

// Verbs, as the metrics name them.
const (
	verbGet    = "get"
	verbList   = "list"
	verbPut    = "put"
	verbDelete = "delete"
	verbWatch  = "watch"
	verbHosts  = "hosts"
)

const (
	// maxObject bounds the answer about one object: its value and its header.
	maxObject = MaxValue + 64<<10
	// maxListing bounds the answer to a list or a watch.
	maxListing = 256 << 20
	// idleConnections are kept open to one address.
	idleConnections = 32
)

// Client is the Store of a host. It never repeats a call that may have been
// applied, since only the caller knows whether that is safe; it does repeat a
// failed dial, at the next address.
type Client struct {
	cfg       Config
	http      *http.Client
	transport *http.Transport
	bucket    *rate.Limiter
	clock     clock
	address   atomic.Uint64 // index, modulo the number of addresses, of the one in use
	up        atomic.Bool
	log       *event.Log
	metrics   *metrics
}

var _ Store = (*Client)(nil)

// New returns a client for valid settings. Nothing is sent before the first call.
func New(cfg Config, log *event.Log, reg prometheus.Registerer) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: cfg.Timeout.Std()}).DialContext,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     time.Minute,
	}
	return &Client{
		cfg:       cfg,
		transport: transport,
		http: &http.Client{
			Transport:     transport,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		bucket:  rate.NewLimiter(rate.Limit(cfg.CallsPerSecond), cfg.Burst),
		log:     log,
		metrics: newMetrics(reg),
	}
}

// Start does nothing: a host starts while the platform is down, too.
func (c *Client) Start(context.Context) error { return nil }

// Stop closes the idle connections.
func (c *Client) Stop(context.Context) error {
	c.transport.CloseIdleConnections()
	return nil
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	var o Object
	err := c.call(ctx, call{verb: verbGet, method: http.MethodGet, path: objectPath(kind, name), limit: maxObject}, &o)
	return o, err
}

// List implements Store.
func (c *Client) List(ctx context.Context, kinds ...string) (Listing, error) {
	var l Listing
	query := url.Values{"kind": kinds}
	err := c.call(ctx, call{verb: verbList, method: http.MethodGet, path: PathObjects, query: query, limit: maxListing}, &l)
	return l, err
}

// Put implements Store. A value of more than MaxValue bytes is not sent.
func (c *Client) Put(ctx context.Context, kind, name string, version uint64, value []byte) (Object, error) {
	if len(value) > MaxValue {
		return Object{}, &Unavailable{Cause: Error.New("value of %s/%s has %d bytes, the platform takes %d", kind, name, len(value), MaxValue)}
	}
	var o Object
	err := c.call(ctx, call{
		verb: verbPut, method: http.MethodPut, path: objectPath(kind, name),
		version: &version, body: value, limit: maxObject,
	}, &o)
	return o, err
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, kind, name string, version uint64) error {
	return c.call(ctx, call{
		verb: verbDelete, method: http.MethodDelete, path: objectPath(kind, name),
		version: &version, limit: maxObject,
	}, nil)
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, after uint64, wait time.Duration, kinds ...string) (Listing, error) {
	query := url.Values{
		"kind":    kinds,
		"after":   {strconv.FormatUint(after, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var l Listing
	err := c.call(ctx, call{verb: verbWatch, method: http.MethodGet, path: PathWatch, query: query, wait: wait, limit: maxListing}, &l)
	return l, err
}

// Hosts implements Store.
func (c *Client) Hosts(ctx context.Context) ([]LiveHost, error) {
	var hosts []LiveHost
	err := c.call(ctx, call{verb: verbHosts, method: http.MethodGet, path: PathHosts, limit: maxListing}, &hosts)
	return hosts, err
}

// Now implements Store.
func (c *Client) Now() (time.Time, bool) { return c.clock.get() }

// call makes one call within the token bucket and the timeout.
func (c *Client) call(ctx context.Context, k call, into any) error {
	start := time.Now()
	limited, cancel := context.WithTimeout(ctx, c.cfg.Timeout.Std()+k.wait)
	defer cancel()
	err := c.takeToken(limited, k)
	if err == nil {
		err = c.try(limited, k, into)
		c.logReachability(ctx, k, err)
	}
	c.metrics.observe(k.verb, time.Since(start), err)
	return err
}

// takeToken waits for a token of the bucket; it fails at once when none would
// come in time.
func (c *Client) takeToken(ctx context.Context, k call) error {
	if err := c.bucket.Wait(ctx); err != nil {
		return &Unavailable{Cause: Error.New("%s: wait for a token of %g calls a second: %w", k.verb, c.cfg.CallsPerSecond, err)}
	}
	return nil
}

// try sends the call to the address in use, and to the next ones while no
// connection can be had.
func (c *Client) try(ctx context.Context, k call, into any) error {
	var err error
	for range c.cfg.Addresses {
		n := c.address.Load()
		var connected bool
		connected, err = c.exchange(ctx, c.cfg.Addresses[n%uint64(len(c.cfg.Addresses))], k, into)
		if connected {
			return err
		}
		c.address.CompareAndSwap(n, n+1)
	}
	return err
}

// logReachability logs when the platform begins or ceases to answer. A call that the
// caller gave up tells nothing about that.
func (c *Client) logReachability(ctx context.Context, k call, err error) {
	switch resultOf(err) {
	case resultUnavailable, resultUnanswered:
		if ctx.Err() == nil && c.up.CompareAndSwap(true, false) {
			c.log.Event(evUnreachable).Str("verb", k.verb).Str("error", err.Error()).Msg("")
		}
	default:
		if c.up.CompareAndSwap(false, true) {
			c.log.Event(evReachable).Str("verb", k.verb).Msg("")
		}
	}
}

func objectPath(kind, name string) string {
	return fmt.Sprintf("%s/%s/%s", PathObjects, url.PathEscape(kind), url.PathEscape(name))
}

// decode reads an answer's JSON; into may be nil.
func decode(body []byte, into any) error {
	if into == nil {
		return nil
	}
	return json.Unmarshal(body, into)
}
