// Package revision orders what the platform's store tells: a number alone does not, as the store may
// come back from an older copy and give numbers out again.
package revision

import (
	"cmp"
	"fmt"
)

// Revision is a point in the history of the store. The zero value comes before all others.
type Revision struct {
	// Era counts the times that the store came back from an older copy; 0 also where the store
	// tells none.
	Era uint64
	// Number grows with each change of the store within an era.
	Number uint64
}

// Compare returns -1, 0 or 1 as r comes before, is, or comes after other. Every revision of an era
// comes after all those of earlier ones.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Number, other.Number))
}

// Before reports whether r comes before other.
func (r Revision) Before(other Revision) bool { return r.Compare(other) < 0 }

// IsZero reports whether r is the zero value.
func (r Revision) IsZero() bool { return r == Revision{} }

// String returns the era and the number, or the number alone where no era was told.
func (r Revision) String() string {
	if r.Era == 0 {
		return fmt.Sprint(r.Number)
	}
	return fmt.Sprintf("%d/%d", r.Era, r.Number)
}

// numberBits is how many bits of an ordinal hold the number: enough for 2,000 changes a second over 17 years.
const numberBits = 40

// Ordinal returns one number that orders as the revision does, for where a single one is told or kept. Without an era it
// is the number.
func (r Revision) Ordinal() uint64 { return r.Era<<numberBits | r.Number&(1<<numberBits-1) }

// FromOrdinal returns the revision of an ordinal.
func FromOrdinal(n uint64) Revision {
	return Revision{Era: n >> numberBits, Number: n & (1<<numberBits - 1)}
}

// Later returns the later one of two revisions.
func Later(a, b Revision) Revision {
	if a.Before(b) {
		return b
	}
	return a
}
