package claim

import (
	"fmt"
	"time"

	"github.com/oklog/ulid/v2"

	"rhubarbwood.example/rhubarbwood/internal/objstore"
)

// sliceLength is the span of reservation time whose records share one kind of
// platform object, so that a sweep lists a small set and not every record. It
// is a constant: two hosts that disagreed on it would look for the record of
// one reservation in two places.
const sliceLength = 10 * time.Minute

// reservationID is a caller's id: a ULID, whose first part is the time at
// which it was made.
type reservationID struct{ id ulid.ULID }

// parseID reads the text form in either case. It refuses all that is not
// exactly a ULID, because two spellings of an id must name one record.
func parseID(s string) (reservationID, error) {
	id, err := ulid.ParseStrict(s)
	if err != nil {
		return reservationID{}, Error.New("reservation id: %w", err)
	}
	return reservationID{id}, nil
}

// String returns the one canonical form.
func (r reservationID) String() string { return r.id.String() }

// time returns when the caller made the id, by the caller's clock.
func (r reservationID) time() time.Time { return ulid.Time(r.id.Time()) }

// kind returns the platform kind of the record; see sliceLength.
func (r reservationID) kind() string { return timeSliceOf(r.time()).kind() }

// timeSlice is the number of a span of sliceLength, counted from the Unix
// epoch.
type timeSlice int64

const sliceSeconds = int64(sliceLength / time.Second)

// timeSliceOf returns the slice that t falls in.
func timeSliceOf(t time.Time) timeSlice { return timeSlice(t.Unix() / sliceSeconds) }

// kind returns the platform kind of the records of the slice.
func (s timeSlice) kind() string { return fmt.Sprintf("%s.%d", objstore.KindClaim, int64(s)) }

// end returns the first moment after the slice.
func (s timeSlice) end() time.Time { return time.Unix((int64(s)+1)*sliceSeconds, 0) }

// expired reports whether the id is past the horizon at now, by the
// platform's clock.
func (r reservationID) expired(now time.Time, horizon time.Duration) bool {
	return now.Sub(r.time()) > horizon
}

// ahead reports whether the id lies further in the future than is allowed.
func (r reservationID) ahead(now time.Time, limit time.Duration) bool {
	return r.time().Sub(now) > limit
}
