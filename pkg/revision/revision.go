// Package revision orders the states of the platform's store. The store counts its revisions anew when it comes
// back from an older copy, and raises its era each time. Revisions are comparable only within an era, so
// both are kept in one value that only the adapter to the store takes apart.
package revision

import (
	"math"
	"strconv"

	"github.com/pkg/errors"
)

// numberBits is the size of a number in an encoded revision; the era has the rest.
const (
	numberBits = 48
	maxNumber  = 1<<numberBits - 1
	// MaxEra is the highest era that a revision can hold.
	MaxEra = math.MaxUint64 >> numberBits
)

// Revision is a revision of the store. The zero value precedes all others.
type Revision struct{ encoded uint64 }

// New returns a revision of an era. It fails if the era or the number is too large.
func New(era, number uint64) (Revision, error) {
	if era > MaxEra || number > maxNumber {
		return Revision{}, errors.Errorf("revision %d of era %d is too large", number, era)
	}
	return Revision{era<<numberBits | number}, nil
}

// Decode returns the revision that Encode encoded.
func Decode(encoded uint64) Revision { return Revision{encoded} }

// Encode returns the revision as a number, in the same order as the revisions.
func (r Revision) Encode() uint64 { return r.encoded }

// Era returns the era, for use by the adapter to the store.
func (r Revision) Era() uint64 { return r.encoded >> numberBits }

// Number returns the store's number of the revision, for use by the adapter to the store.
func (r Revision) Number() uint64 { return r.encoded & maxNumber }

// IsZero reports whether r is the zero value.
func (r Revision) IsZero() bool { return r == Revision{} }

// After reports whether r is newer than other.
func (r Revision) After(other Revision) bool { return r.encoded > other.encoded }

// EraAfter reports whether r is of a newer era than other.
func (r Revision) EraAfter(other Revision) bool { return r.Era() > other.Era() }

// SameEra reports whether both revisions are of one era.
func (r Revision) SameEra(other Revision) bool { return r.Era() == other.Era() }

// Max returns the newer of two revisions.
func Max(a, b Revision) Revision {
	if b.After(a) {
		return b
	}
	return a
}

// String returns the era and the number, for logs.
func (r Revision) String() string {
	return strconv.FormatUint(r.Era(), 10) + "." + strconv.FormatUint(r.Number(), 10)
}
