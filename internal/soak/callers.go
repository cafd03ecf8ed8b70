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

// Times of a caller.
const (
	callerBudget   = 1500 * time.Millisecond // told to the host; above the route's timeout
	callerPatience = 3 * time.Second         // after which it gives up on an answer that never comes
	callerPause    = 20 * time.Millisecond   // mean time between two requests
	poisonPause    = 300 * time.Millisecond  // mean time between two copies of the poison
	movesAfter     = 3                       // requests, in the mean, after which it goes to any host; else none would come to one that is stopping
	dialPatience   = 500 * time.Millisecond
)

// kind is a kind of request.
type kind uint8

// Kinds of requests.
const (
	kindQuery   kind = iota // to all shards
	kindReserve             // may run once
	kindVersion             // tells by its service which version of the configuration sent it
	kindPoison              // ends the targets that run it
	kinds
)

// usual are the kinds that callers draw from.
var usual = []kind{kindQuery, kindReserve, kindVersion}

var paths = [kinds]string{pathQuery, pathReserve, pathVersion, pathPoison}

// exchange is one request and what became of it.
type exchange struct {
	id      string
	kind    kind
	host    int
	from    string // incarnation of the host that was asked
	sent    time.Time
	ended   time.Time
	written bool // the whole request was
	status  int  // 0: no whole answer came
	parts   []string
	missing int
	signed  string
	body    []byte
	err     error
}

// caller sends requests to hosts, one after the other, over a connection that it
// keeps until it is closed.
type caller struct {
	site  *site
	name  string
	rng   *rand.Rand
	keeps bool          // it never closes a connection itself
	sends []kind        // it draws from them
	pause time.Duration // mean time between two requests
	host  int
	conn  net.Conn
	read  *bufio.Reader
	done  []exchange
}

// run sends requests until stop closes.
func (c *caller) run(stop <-chan struct{}) {
	for n := 0; ; n++ {
		pause := time.Duration(c.rng.ExpFloat64() * float64(c.pause))
		select {
		case <-stop:
			c.hangUp()
			return
		case <-time.After(pause):
		}
		c.done = append(c.done, c.exchange(fmt.Sprintf("%s-%d", c.name, n)))
		if !c.keeps && c.rng.IntN(movesAfter) == 0 {
			c.hangUp()
		}
	}
}

// hangUp closes the connection; the next request goes to any host.
func (c *caller) hangUp() {
	if c.conn != nil {
		_ = c.conn.Close() // nothing more is expected of it
		c.conn = nil
	}
	c.host = c.rng.IntN(len(c.site.hosts))
}

func (c *caller) exchange(id string) exchange {
	e := exchange{id: id, kind: c.sends[c.rng.IntN(len(c.sends))], host: c.host}
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.site.fronts[c.host].address(), dialPatience)
		if err != nil {
			e.err = err
			c.hangUp()
			return e
		}
		c.conn, c.read = conn, bufio.NewReader(conn)
	}
	e.from, e.sent = c.site.hosts[c.host].incarnation(), time.Now()
	e.err = c.ask(&e)
	e.ended = time.Now()
	if e.err != nil {
		e.status = 0
		c.hangUp()
	}
	return e
}

// ask sends the request and reads the answer.
func (c *caller) ask(e *exchange) error {
	method, body := http.MethodGet, ""
	if e.kind == kindReserve {
		method, body = http.MethodPost, "item "+e.id
	}
	path := paths[e.kind]
	if e.kind != kindPoison {
		path += e.id // no two are alike
	}
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
		method, path, siteHost, platform.HeaderRequestID, e.id,
		platform.HeaderDeadline, callerBudget.Milliseconds(), len(body), body)
	if err := c.conn.SetDeadline(time.Now().Add(callerPatience)); err != nil {
		return Error.Wrap(err)
	}
	if _, err := io.WriteString(c.conn, text); err != nil {
		return Error.Wrap(err)
	}
	e.written = true
	resp, err := http.ReadResponse(c.read, &http.Request{Method: method})
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var all bytes.Buffer
	if _, err := all.ReadFrom(resp.Body); err != nil {
		return Error.Wrap(err)
	}
	e.status, e.body = resp.StatusCode, all.Bytes()
	e.signed = resp.Header.Get(platform.HeaderSignature)
	e.parts = signatures(resp.Header)
	e.missing, _ = strconv.Atoi(resp.Header.Get(platform.HeaderMissing)) // 0 if it is not there
	if resp.Close {
		c.hangUp()
	}
	return nil
}

// callers are all callers of a run.
type callers struct {
	all  []*caller
	stop chan struct{}
	work sync.WaitGroup
}

// usualCallers is how many callers send as fast as they may; more of them send as much together, as
// the targets do not grow with them: 100 asked two targets of 4 slots for twice what they can run.
const usualCallers = 12

// pause returns the mean time between two requests of a caller.
func (c Config) pause() time.Duration {
	return max(callerPause, callerPause*time.Duration(c.Callers)/usualCallers)
}

// startCallers starts callers. With all faults every second one keeps its connections until the
// host is gone, and one more sends copies of the poison.
func startCallers(s *site, cfg Config, rng *rand.Rand) *callers {
	cs := &callers{stop: make(chan struct{})}
	for i := range cfg.Callers {
		c := cs.add(s, rng, fmt.Sprintf("c%d", i))
		c.pause = cfg.pause()
		c.host, c.keeps = i%len(s.hosts), cfg.AllFaults && i%2 == 1
	}
	if cfg.AllFaults {
		c := cs.add(s, rng, "poison")
		c.sends, c.pause = []kind{kindPoison}, poisonPause
	}
	for _, c := range cs.all {
		cs.work.Go(func() { c.run(cs.stop) })
	}
	return cs
}

func (cs *callers) add(s *site, rng *rand.Rand, name string) *caller {
	c := &caller{site: s, name: name, rng: rand.New(rand.NewPCG(rng.Uint64(), uint64(len(cs.all)))), sends: usual}
	cs.all = append(cs.all, c)
	return c
}

// end stops the callers and returns what they saw.
func (cs *callers) end() []exchange {
	close(cs.stop)
	cs.work.Wait()
	var all []exchange
	for _, c := range cs.all {
		all = append(all, c.done...)
	}
	return all
}
