package soak

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"rhubarbwood.example/rhubarbwood/platform"
)

// Times and rates of a caller.
const (
	callerDeadline      = 1500 * time.Millisecond // sent to the host; longer than the route's timeout
	callerTimeout       = 3 * time.Second         // for requests that get no answer
	meanCallerPause     = 20 * time.Millisecond   // between two requests
	meanPoisonPause     = 300 * time.Millisecond  // between two copies of the poison request
	meanRequestsPerHost = 3                       // after which the caller picks another host; otherwise no new connection would reach a stopping host
	dialTimeout         = 500 * time.Millisecond
)

// requestKind is a kind of request.
type requestKind uint8

// Kinds of requests.
const (
	kindQuery   requestKind = iota // to all shards
	kindReserve                    // non-idempotent, runs at most once
	kindVersion                    // its service identifies the configuration version that the host applied
	kindPoison                     // poison request: crashes the targets that run it
	kindCount
)

// callerKinds are the kinds that ordinary callers draw from.
var callerKinds = []requestKind{kindQuery, kindReserve, kindVersion}

var paths = [kindCount]string{pathQuery, pathReserve, pathVersion, pathPoison}

// exchange is one request and its outcome.
type exchange struct {
	requestID      string
	kind           requestKind
	host           int
	incarnation    string // of the host that received the request
	sent           time.Time
	ended          time.Time
	requestWritten bool // the whole request was written
	status         int  // 0: no complete response
	partSignatures []string
	missingParts   int
	signature      string
	body           []byte
	err            error
}

// caller sends requests one after another over a connection that it keeps open until either side
// closes it.
type caller struct {
	site            *site
	name            string
	rng             *rand.Rand
	keepsConnection bool          // the caller never closes the connection itself
	kinds           []requestKind // drawn at random for each request
	meanPause       time.Duration // between two requests
	host            int
	conn            net.Conn
	reader          *bufio.Reader
	exchanges       []exchange
}

// run sends requests until stop is closed.
func (c *caller) run(stop <-chan struct{}) {
	for n := 0; ; n++ {
		pause := time.Duration(c.rng.ExpFloat64() * float64(c.meanPause))
		select {
		case <-stop:
			c.disconnect()
			return
		case <-time.After(pause):
		}
		c.exchanges = append(c.exchanges, c.exchange(fmt.Sprintf("%s-%d", c.name, n)))
		if !c.keepsConnection && c.rng.IntN(meanRequestsPerHost) == 0 {
			c.disconnect()
		}
	}
}

// disconnect closes the connection and picks a random host for the next request.
func (c *caller) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close() // the result of the close doesn't matter
		c.conn = nil
	}
	c.host = c.rng.IntN(len(c.site.hosts))
}

func (c *caller) exchange(id string) exchange {
	e := exchange{requestID: id, kind: c.kinds[c.rng.IntN(len(c.kinds))], host: c.host}
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.site.callerProxies[c.host].address(), dialTimeout)
		if err != nil {
			e.err = err
			c.disconnect()
			return e
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	e.incarnation, e.sent = c.site.hosts[c.host].incarnation(), time.Now()
	e.err = c.send(&e)
	e.ended = time.Now()
	if e.err != nil {
		e.status = 0
		c.disconnect()
	}
	return e
}

// send writes the request and reads the response.
func (c *caller) send(e *exchange) error {
	method, body := http.MethodGet, ""
	if e.kind == kindReserve {
		method, body = http.MethodPost, "item "+e.requestID
	}
	path := paths[e.kind]
	if e.kind != kindPoison {
		path += e.requestID // makes each path unique
	}
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
		method, path, siteHost, platform.HeaderRequestID, e.requestID,
		platform.HeaderDeadline, callerDeadline.Milliseconds(), len(body), body)
	if err := c.conn.SetDeadline(time.Now().Add(callerTimeout)); err != nil {
		return Error.Wrap(err)
	}
	if _, err := io.WriteString(c.conn, text); err != nil {
		return Error.Wrap(err)
	}
	e.requestWritten = true
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var all bytes.Buffer
	if _, err := all.ReadFrom(resp.Body); err != nil {
		return Error.Wrap(err)
	}
	e.status, e.body = resp.StatusCode, all.Bytes()
	e.signature = resp.Header.Get(platform.HeaderSignature)
	e.partSignatures = partSignatures(resp.Header)
	e.missingParts, _ = strconv.Atoi(resp.Header.Get(platform.HeaderMissing)) // 0 if the header is missing
	if resp.Close {
		c.disconnect()
	}
	return nil
}

// callers are all callers of a run.
type callers struct {
	all  []*caller
	stop chan struct{}
	work sync.WaitGroup
}

// fullRateCallers is the number of callers that send at the full rate. More callers share that
// total rate, as the number of targets is fixed: 100 callers requested twice what two targets with
// 4 slots can run.
const fullRateCallers = 12

// meanPause returns the mean time between two requests of one caller.
func (c Config) meanPause() time.Duration {
	return max(meanCallerPause, meanCallerPause*time.Duration(c.Callers)/fullRateCallers)
}

// startCallers starts the callers. With all faults, every second caller keeps its connection until
// the host closes it, and one more caller sends copies of the poison request.
func startCallers(s *site, cfg Config, rng *rand.Rand) *callers {
	cs := &callers{stop: make(chan struct{})}
	for i := range cfg.Callers {
		c := cs.add(s, rng, fmt.Sprintf("c%d", i))
		c.meanPause = cfg.meanPause()
		c.host, c.keepsConnection = i%len(s.hosts), cfg.AllFaults && i%2 == 1
	}
	if cfg.AllFaults {
		c := cs.add(s, rng, "poison")
		c.kinds, c.meanPause = []requestKind{kindPoison}, meanPoisonPause
	}
	for _, c := range cs.all {
		cs.work.Go(func() { c.run(cs.stop) })
	}
	return cs
}

func (cs *callers) add(s *site, rng *rand.Rand, name string) *caller {
	c := &caller{site: s, name: name, rng: rand.New(rand.NewPCG(rng.Uint64(), uint64(len(cs.all)))), kinds: callerKinds}
	cs.all = append(cs.all, c)
	return c
}

// stopAndCollect stops the callers and returns their exchanges.
func (cs *callers) stopAndCollect() []exchange {
	close(cs.stop)
	cs.work.Wait()
	var all []exchange
	for _, c := range cs.all {
		all = append(all, c.exchanges...)
	}
	return all
}
