package target

import (
	"sync"

	"rhubarbwood.example/rhubarbwood/internal/targetapi"
)

// Execution is the log record of one execution of a reservation.
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

// answer returns the target's answer to the reservation.
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
	answer  targetapi.Answer // set once it has run
}

// reservations holds the execution log, the stock and the state of each attempt. Nothing is
// evicted.
type reservations struct {
	mu         sync.Mutex
	stock      map[string]int
	executions []Execution
	attempts   map[string]*attempt
	journal    *journal // nil: in memory only
}

func newReservations(stock map[string]int) *reservations {
	r := &reservations{stock: map[string]int{}, attempts: map[string]*attempt{}}
	for item, n := range stock {
		r.stock[item] = n
	}
	return r
}

// begin executes the reservation: it logs the execution and takes the item from the stock. It
// returns false and changes nothing if the attempt was settled as never run.
func (r *reservations) begin(e Execution) (ran Execution, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.attempts[e.AttemptID]
	if a != nil && a.refused {
		return e, false
	}
	e.Granted = r.takeStockLocked(e.Item)
	r.executions = append(r.executions, e)
	r.attempts[e.AttemptID] = &attempt{running: true}
	r.journal.appendExecution(e)
	return e, true
}

func (r *reservations) takeStockLocked(item string) bool {
	n, limited := r.stock[item]
	if !limited {
		return true
	}
	if n == 0 {
		return false
	}
	r.stock[item] = n - 1
	return true
}

// finish records the answer of an executed attempt.
func (r *reservations) finish(a targetapi.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts[a.AttemptID] = &attempt{answer: a}
}

// settle returns the final state of the attempt. An attempt that has not begun is refused from now
// on.
func (r *reservations) settle(attemptID string) targetapi.Settlement {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.attempts[attemptID]
	if a == nil {
		a = &attempt{refused: true}
		r.attempts[attemptID] = a
		r.journal.appendRefusal(attemptID)
	}
	return targetapi.Settlement{
		AttemptID: attemptID,
		Ran:       !a.refused,
		Running:   a.running,
		Answer:    a.answer,
	}
}

func (r *reservations) executionLog() []Execution {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Execution{}, r.executions...)
}
