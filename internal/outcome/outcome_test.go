package outcome

import (
	"testing"

	"github.com/matryer/is"
)

var all = []Outcome{NotSent, Rejected, Failed, Unknown, Done}

// TestCombineExhaustive tries every list of up to four attempts: a request is
// reported as not run exactly when no attempt may have run, and as done exactly
// when one attempt has a valid answer.
func TestCombineExhaustive(t *testing.T) {
	is := is.New(t)
	var visit func(attempts []Outcome)
	visit = func(attempts []Outcome) {
		mayHaveRun, answered := false, false
		for _, a := range attempts {
			mayHaveRun = mayHaveRun || (a != NotSent && a != Rejected)
			answered = answered || a == Done
		}
		got := Combine(attempts...)
		is.Equal(got.NotRun(), !mayHaveRun) // attempts
		is.Equal(got == Done, answered)     // attempts
		if len(attempts) == 4 {
			return
		}
		for _, o := range all {
			visit(append(attempts[:len(attempts):len(attempts)], o))
		}
	}
	visit(nil)
}

// TestCombineLaws checks that the order and grouping of attempts do not matter,
// so that an entry host and a relay may each combine the outcomes that they
// have.
func TestCombineLaws(t *testing.T) {
	is := is.New(t)
	for _, a := range all {
		is.Equal(Combine(a, a), a)
		is.Equal(Combine(a), a)
		for _, b := range all {
			is.Equal(Combine(a, b), Combine(b, a))
			for _, c := range all {
				is.Equal(Combine(Combine(a, b), c), Combine(a, Combine(b, c)))
			}
		}
	}
}

// TestInvalidValue checks that a value without a meaning counts as unknown.
func TestInvalidValue(t *testing.T) {
	is := is.New(t)
	is.Equal(Combine(Outcome(77)), Unknown)
	is.True(!Outcome(77).NotRun())
	for _, o := range all {
		got, ok := Parse(o.String())
		is.True(ok)
		is.Equal(got, o)
	}
}
