package discovery

import (
	"context"
	"math/rand/v2"
	"time"
)

// Finding is one host's health verdict on a target, or that it rejects many requests.
type Finding struct {
	Target      string
	StartMillis int64         // of the incarnation that was assessed; see Target
	Bad         bool          // the target was set aside; otherwise it was readmitted
	Ended       bool          // the target refused connections when it was set aside
	Latency     time.Duration // scaled to a typical answer
	Failures    float64       // ratio of failed attempts, 0..1
	ShedRatio   float64       // above 0: ratio of requests that the target rejects for load, and no verdict; 0..1
	Domain      string        // failure domain of the host that made the finding
	Age         time.Duration // since the finding was made
}

// maxFindings is how many findings are kept for peers, which have no use for older ones.
const maxFindings = 256

// findingTTL is the age from which a finding is no longer passed on: the target may have changed
// since.
const findingTTL = 3 * time.Second

// findings is a log of the newest findings. Its numbers count from the start of this process; the
// random epoch tells peers when they start over.
type findings struct {
	epoch      uint64
	lastNumber uint64 // number of the newest finding
	recent     []numberedFinding
}

type numberedFinding struct {
	number  uint64
	at      time.Time
	finding Finding
}

func newFindings() findings { return findings{epoch: rand.Uint64() | 1} }

func (f *findings) add(now time.Time, findings []Finding) {
	for _, x := range findings {
		f.lastNumber++
		f.recent = append(f.recent, numberedFinding{f.lastNumber, now.Add(-x.Age), x})
	}
	if over := len(f.recent) - maxFindings; over > 0 {
		f.recent = append(f.recent[:0], f.recent[over:]...)
	}
}

// since returns the findings after a number of an epoch that have not expired. A number of another
// epoch counts as 0.
func (f *findings) since(now time.Time, epoch, number uint64) []Finding {
	if epoch != f.epoch {
		number = 0
	}
	var all []Finding
	for _, x := range f.recent {
		if x.number > number && now.Sub(x.at) < findingTTL {
			x.finding.Age = now.Sub(x.at)
			all = append(all, x.finding)
		}
	}
	return all
}

// OnFindings sets the function that receives the findings of other hosts. It is called without
// a lock held. Call it before the state is used.
func (s *State) OnFindings(f func([]Finding)) { s.onFindings = f }

// ReportFinding queues a finding of this host for its peers. It does not block.
func (s *State) ReportFinding(f Finding) {
	select {
	case s.ownFindings <- f:
	default: // the queue is full; peers detect the problem themselves
	}
}

// maxQueuedFindings is how many findings of this host may wait to be sent.
const maxQueuedFindings = 128

// findingBatchWindow is how long findings are collected into one message.
const findingBatchWindow = 20 * time.Millisecond

// nextFindingBatch waits for a finding of this host and collects those that follow within
// findingBatchWindow.
func (s *State) nextFindingBatch(ctx context.Context) []Finding {
	var all []Finding
	select {
	case f := <-s.ownFindings:
		all = append(all, f)
	case <-ctx.Done():
		return nil
	}
	timer := time.NewTimer(findingBatchWindow)
	defer timer.Stop()
	for {
		select {
		case f := <-s.ownFindings:
			all = append(all, f)
		case <-timer.C:
			return all
		case <-ctx.Done():
			return all
		}
	}
}

// publishFindings keeps findings for the peers that poll this host.
func (s *State) publishFindings(all []Finding) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.findings.add(s.clock.Now(), all)
	s.wakePolls()
}

// deliverFindings passes the findings of other hosts to the function set by OnFindings.
func (s *State) deliverFindings(all []Finding) {
	if len(all) > 0 && s.onFindings != nil {
		s.onFindings(all)
	}
}
