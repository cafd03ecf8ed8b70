// Package outcome classifies the results of the attempts made for one request.
// It has no side effects, and is the only place that decides whether a request
// "did not run". Begin with Outcome and Combine.
package outcome

// Outcome is what the sender of an attempt knows of its execution.
//
// The values are ordered: the outcome of several attempts is the greatest of
// them, see Combine.
type Outcome uint8

const (
	// NotSent means that no byte of the attempt left this host.
	NotSent Outcome = iota
	// Rejected means that the target answered that it did not run the attempt.
	Rejected
	// Failed means that the target answered that it ran the attempt without
	// success.
	Failed
	// Unknown means that bytes were sent and no valid answer was received, so
	// the attempt may have run, may be running, or may run later.
	Unknown
	// Done means that the target ran the attempt and its answer is valid.
	Done
)

var outcomeNames = [...]string{"not_sent", "rejected", "failed", "unknown", "done"}

// String returns the name used in messages, logs and reports.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "invalid"
}

// Parse returns the outcome with the given name.
func Parse(s string) (Outcome, bool) {
	for i, n := range outcomeNames {
		if n == s {
			return Outcome(i), true
		}
	}
	return Unknown, false
}

// Combine returns the outcome of a request from those of its attempts. One
// valid answer makes the request Done; otherwise one attempt that may have run
// makes it Unknown. Without attempts it is NotSent.
func Combine(attempts ...Outcome) Outcome {
	combined := NotSent
	for _, o := range attempts {
		if o > Done {
			o = Unknown
		}
		if o > combined {
			combined = o
		}
	}
	return combined
}

// NotRun reports whether a request with this outcome certainly did not run and
// will not run. Only then may a response to a caller say so.
func (o Outcome) NotRun() bool { return o == NotSent || o == Rejected }
