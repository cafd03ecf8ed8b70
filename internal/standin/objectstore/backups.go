package objectstore

import (
	"errors"
	"sync"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/unit"
)

// errNoBackups is returned for a restore of a store that is configured without backups.
var errNoBackups = errors.New("the store keeps no copies; set copy_every and oldest_copy")

// backups holds the periodic backups of a store.
type backups struct {
	mu   sync.Mutex
	list []Backup // oldest first
}

// TakeBackups backs up the store at the configured interval until stop is closed. It returns at
// once if no interval is configured.
func (s *Store) TakeBackups(stop <-chan struct{}) {
	every := s.cfg.BackupInterval.Std()
	if every <= 0 {
		return
	}
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		s.backups.append(s.Backup(), int(s.cfg.MaxBackupAge.Std()/every))
		select {
		case <-tick.C:
		case <-stop:
			return
		}
	}
}

// append adds a backup and drops the oldest ones beyond maxCount.
func (c *backups) append(b Backup, maxCount int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list = append(c.list, b)
	c.list = c.list[max(len(c.list)-max(maxCount, 1), 0):]
}

// resetTo returns the backup taken stepsBack intervals before the newest one, or the oldest
// available one, and discards all others, so that the newer state is lost.
func (c *backups) resetTo(stepsBack int) (Backup, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.list) == 0 {
		return Backup{}, errNoBackups
	}
	b := c.list[max(len(c.list)-1-stepsBack, 0)]
	c.list = []Backup{b}
	return b, nil
}

// RestoreBackup restores the backup of about the given age, or the oldest available one.
func (s *Store) RestoreBackup(age time.Duration) error {
	every := s.cfg.BackupInterval.Std()
	if every <= 0 {
		return errNoBackups
	}
	b, err := s.backups.resetTo(int(age / every))
	if err != nil {
		return err
	}
	s.Restore(b)
	return nil
}

// RestoreDrill describes an outage of the store that ends with a restore from an older backup.
type RestoreDrill struct {
	Outage Outage        `json:"outage"` // failure mode while the store is unavailable
	Away   unit.Duration `json:"away"`   // duration of the outage
	Age    unit.Duration `json:"age"`    // age of the restored backup
}

// Validate returns all errors of the drill.
func (d RestoreDrill) Validate() error {
	if d.Away < 0 || d.Away.Std() > maxDrillOutage || d.Age < 0 {
		return Error.New("away %s, age %s: want 0s or more, and away up to %s", d.Away, d.Age, maxDrillOutage)
	}
	return Faults{Outage: d.Outage}.Validate()
}

// maxDrillOutage bounds the outage of a drill, since the HTTP request that starts the drill blocks
// for that long.
const maxDrillOutage = time.Minute

// RunDrill simulates the outage, restores the backup and clears all faults. It blocks until then.
func (s *Store) RunDrill(d RestoreDrill) error {
	s.SetFaults(Faults{Outage: d.Outage})
	defer s.SetFaults(Faults{})
	time.Sleep(d.Away.Std())
	return s.RestoreBackup(d.Age.Std())
}
