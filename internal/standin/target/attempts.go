package target

import (
	"sync"

	"rhubarbwood.example/rhubarbwood/internal/targetapi"
)

// Execution is one run of a reservation.
type Execution struct {
	Target        string `json:"target"`
	Incarnation   uint64 `json:"incarnation"`
	Service       string `json:"service"`
	ReservationID string `json:"reservation_id"`
	AttemptID     string `json:"attempt_id"`
	RequestID     string `json:"request_id"`
	Item          string `json:"item"`
	Granted       bool   `json:"granted"`
}

// answer is what the target answers to the reservation.
func (e Execution) answer() targetapi.Answer {
	text := e.Item + " reserved"
	if !e.Granted {
		text = e.Item + " is out of stock"
	}
	return targetapi.Answer{
		RequestID: e.RequestID,
		AttemptID: e.AttemptID,
		Service:   e.Service,
		Rows:      []targetapi.Row{},
		Granted:   e.Granted,
		Text:      text,
	}
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
	journal    *journal // nil: in memory only
}

func newDesk(stock map[string]int) *desk {
	d := &desk{stock: map[string]int{}, attempts: map[string]*attempt{}}
	for item, n := range stock {
		d.stock[item] = n
	}
	return d
}

// begin runs the reservation: it logs the execution and takes from the stock.
// It reports false, and does nothing, if the attempt was settled as never run.
func (d *desk) begin(e Execution) (ran Execution, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.attempts[e.AttemptID]
	if a != nil && a.refused {
		return e, false
	}
	e.Granted = d.takeLocked(e.Item)
	d.executions = append(d.executions, e)
	d.attempts[e.AttemptID] = &attempt{running: true}
	d.journal.ran(e)
	return e, true
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
		d.journal.refused(attemptID)
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
