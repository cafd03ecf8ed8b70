// Package outcome tells what became of the attempts made for one request.
// It is pure: the rule that decides whether a request "did not run" stands
// here and nowhere else.
package outcome

// Outcome is what the sender of one attempt knows about it.
//
// The values are ordered: the outcome of several attempts is the greatest of
// them, see Combine.
type Outcome uint8

const (
	// NotSent means that no byte of the attempt left this host.
	NotSent Outcome = iota
	// Rejected means that the target answered that it did not run the attempt.
	Rejected
	// Failed means that the target answered that it ran the attempt in vain.
	Failed
	// Unknown means that bytes were sent and no valid answer came back, so the
	// attempt may have run, may be running, or may run later.
	Unknown
	// Done means that the target ran the attempt and its answer is valid.
	Done
)

var names = [...]string{"not_sent", "rejected", "failed", "unknown", "done"}

// String returns the name used in messages, logs and reports.
func (o Outcome) String() string {
	if int(o) < len(names) {
		return names[o]
	}
	return "invalid"
}

// Parse returns the outcome with the given name.
func Parse(s string) (Outcome, bool) {
	for i, n := range names {
		if n == s {
			return Outcome(i), true
		}
	}
	return Unknown, false
}

// Combine returns the outcome of a request from those of its attempts. One
// valid answer makes the request Done; failing that, one attempt that may
// have run makes it Unknown. With no attempt at all it is NotSent.
func Combine(attempts ...Outcome) Outcome {
	worst := NotSent
	for _, o := range attempts {
		if o > Done {
			o = Unknown
		}
		if o > worst {
			worst = o
		}
	}
	return worst
}

// NotRun reports whether a request with this outcome certainly did not run and
// will not run. Only then may a caller be told so.
func (o Outcome) NotRun() bool { return o == NotSent || o == Rejected }
