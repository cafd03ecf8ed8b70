package target

import (
	"encoding/json"
	"os"
	"sync"

	"rhubarbwood.example/rhubarbwood/internal/targetapi"
)

// Execution is one run of a reservation.
type Execution struct {
	Target        string `json:"target"`
	Incarnation   uint64 `json:"incarnation"`
	ReservationID string `json:"reservation_id"`
	AttemptID     string `json:"attempt_id"`
	RequestID     string `json:"request_id"`
	Item          string `json:"item"`
	Granted       bool   `json:"granted"`
}

type attempt struct {
	refused bool // settled as never run
	running bool
	answer  targetapi.Answer // once it has run
}

// desk keeps the reservations that ran: the execution log, the stock, and what
// became of each attempt. It keeps all of them for as long as it lives.
type desk struct {
	mu         sync.Mutex
	stock      map[string]int
	executions []Execution
	attempts   map[string]*attempt
	file       *os.File // nil: in memory only
}

func newDesk(stock map[string]int) *desk {
	d := &desk{stock: map[string]int{}, attempts: map[string]*attempt{}}
	for item, n := range stock {
		d.stock[item] = n
	}
	return d
}

func (d *desk) open(path string) error {
	if path == "" {
		return nil
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return Error.New("open execution log: %w", err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.file = f
	return nil
}

func (d *desk) close() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.file == nil {
		return nil
	}
	f := d.file
	d.file = nil
	return Error.Wrap(f.Close())
}

// begin runs the reservation: it logs the execution and takes from the stock.
// It reports false, and does nothing, if the attempt was settled as never run.
func (d *desk) begin(e Execution) (granted, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.attempts[e.AttemptID]
	if a != nil && a.refused {
		return false, false
	}
	d.attempts[e.AttemptID] = &attempt{running: true}
	e.Granted = d.takeLocked(e.Item)
	d.executions = append(d.executions, e)
	d.writeLocked(e)
	return e.Granted, true
}

func (d *desk) takeLocked(item string) bool {
	n, limited := d.stock[item]
	if !limited {
		return true
	}
	if n == 0 {
		return false
	}
	d.stock[item] = n - 1
	return true
}

// writeLocked adds a line to the file. A log that cannot be written would make
// every count of runs untrue, so the target must not go on.
func (d *desk) writeLocked(e Execution) {
	if d.file == nil {
		return
	}
	line, err := json.Marshal(e)
	if err == nil {
		_, err = d.file.Write(append(line, '\n'))
	}
	if err != nil {
		panic(Error.New("write execution log: %w", err))
	}
}

// finish records the answer of an attempt that ran.
func (d *desk) finish(a targetapi.Answer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.attempts[a.AttemptID] = &attempt{answer: a}
}

// settle tells what became of the attempt. One that has not begun is refused
// from now on.
func (d *desk) settle(attemptID string) targetapi.Settlement {
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.attempts[attemptID]
	if a == nil {
		a = &attempt{refused: true}
		d.attempts[attemptID] = a
	}
	return targetapi.Settlement{
		AttemptID: attemptID,
		Ran:       !a.refused,
		Running:   a.running,
		Answer:    a.answer,
	}
}

func (d *desk) log() []Execution {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]Execution{}, d.executions...)
}
