package policy

import "time"

// Report is the load that a target reports with an answer. It serves the load pattern of targets whose
// machines slow down and recover within a fraction of a second, or for seconds: latencies show it only after
// requests have been delayed.
type Report struct {
	Slowness float64 // current duration of work on the target's machine, relative to the usual one
	Queued   float64 // requests that wait for a slot, per slot
}

// maxReportAge is the age up to which a report predicts latency better than observed latencies.
const maxReportAge = 2 * time.Second

// NewReport returns a report from the figures that a target sent.
func NewReport(slowness float64, running, waiting, slots int) Report {
	ahead := max(running+waiting-slots, 0)
	return Report{Slowness: slowness, Queued: float64(ahead) / float64(max(slots, 1))}
}

// expectedLatency returns the time to an answer, where typical is the latency of the usual target.
func (r Report) expectedLatency(typical time.Duration) time.Duration {
	return time.Duration(float64(typical) * r.Slowness * (1 + r.Queued))
}

// Reported stores a target's report.
func (o *Outlier) Reported(now time.Time, r Report) { o.report, o.reportAt = r, now }
