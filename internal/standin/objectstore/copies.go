package objectstore

import (
	"errors"
	"sync"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/unit"
)

// errNoCopies means that a store can't be put back: it keeps no copies of itself.
var errNoCopies = errors.New("the store keeps no copies; set copy_every and oldest_copy")

// copies are those of a store, taken every so often.
type copies struct {
	mu  sync.Mutex
	all []Copy // oldest first
}

// KeepCopies copies the store every so often, as its configuration says, until stop closes. It returns at once if that takes
// none.
func (s *Store) KeepCopies(stop <-chan struct{}) {
	every := s.cfg.CopyEvery.Std()
	if every <= 0 {
		return
	}
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		s.copies.add(s.Copy(), int(s.cfg.OldestCopy.Std()/every))
		select {
		case <-tick.C:
		case <-stop:
			return
		}
	}
}

// add keeps a copy, and the newest ones up to a number.
func (c *copies) add(one Copy, most int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all = append(c.all, one)
	c.all = c.all[max(len(c.all)-max(most, 1), 0):]
}

// take returns the newest copy that is so many older than the last one, or the oldest there is, and forgets all: what they
// hold after it is lost.
func (c *copies) take(back int) (Copy, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.all) == 0 {
		return Copy{}, errNoCopies
	}
	one := c.all[max(len(c.all)-1-back, 0)]
	c.all = []Copy{one}
	return one, nil
}

// RestoreOlder puts the store back to a copy of about an age, or to the oldest that it keeps.
func (s *Store) RestoreOlder(age time.Duration) error {
	every := s.cfg.CopyEvery.Std()
	if every <= 0 {
		return errNoCopies
	}
	one, err := s.copies.take(int(age / every))
	if err != nil {
		return err
	}
	s.Restore(one)
	return nil
}

// Drill is a restore as it is asked for: the store is away for a time and comes back from an older copy.
type Drill struct {
	Outage Outage        `json:"outage"` // how it is away
	Away   unit.Duration `json:"away"`
	Age    unit.Duration `json:"age"` // of the copy, when the store is back
}

// Validate returns every error of the drill.
func (d Drill) Validate() error {
	if d.Away < 0 || d.Away.Std() > longestDrill || d.Age < 0 {
		return Error.New("away %s, age %s: want 0s or more, and away up to %s", d.Away, d.Age, longestDrill)
	}
	return Faults{Outage: d.Outage}.Validate()
}

// longestDrill bounds how long a drill holds its request.
const longestDrill = time.Minute

// Play takes the store away and brings it back, without faults then. It returns when that is done.
func (s *Store) Play(d Drill) error {
	s.SetFaults(Faults{Outage: d.Outage})
	defer s.SetFaults(Faults{})
	time.Sleep(d.Away.Std())
	return s.RestoreOlder(d.Age.Std())
}
