// Package revision orders the states of the platform's store. A revision number alone is not
// enough: a store that is restored from an older copy assigns numbers again. A Revision therefore
// combines the number with an era, which counts the restores. The package does not read the store;
// begin with Revision.
package revision

import (
	"cmp"
	"fmt"
)

// Revision identifies a state of the store. The zero value comes before all others.
type Revision struct {
	// Era counts how often the store was restored from an older copy; 0 also if the store reports
	// no era.
	Era uint64
	// Number increases with each change of the store within an era.
	Number uint64
}

// Compare returns -1, 0 or 1 as r comes before, is, or comes after other. Every revision of an era
// comes after all those of earlier eras.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Number, other.Number))
}

// Before reports whether r comes before other.
func (r Revision) Before(other Revision) bool { return r.Compare(other) < 0 }

// IsZero reports whether r is the zero value.
func (r Revision) IsZero() bool { return r == Revision{} }

// String returns the era and the number, or the number alone if the era is 0.
func (r Revision) String() string {
	if r.Era == 0 {
		return fmt.Sprint(r.Number)
	}
	return fmt.Sprintf("%d/%d", r.Era, r.Number)
}

// numberBits is how many bits of an ordinal hold the number: enough for 2,000 changes a second over
// 17 years.
const numberBits = 40

// Ordinal encodes r as one integer with the same order, for messages and records that have room for
// a single number. If the era is 0 it is the number.
func (r Revision) Ordinal() uint64 { return r.Era<<numberBits | r.Number&(1<<numberBits-1) }

// FromOrdinal decodes an ordinal.
func FromOrdinal(n uint64) Revision {
	return Revision{Era: n >> numberBits, Number: n & (1<<numberBits - 1)}
}

// Later returns the later of two revisions.
func Later(a, b Revision) Revision {
	if a.Before(b) {
		return b
	}
	return a
}
