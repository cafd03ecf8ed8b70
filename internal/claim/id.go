package claim

import (
	"fmt"
	"time"

	"github.com/oklog/ulid/v2"

	"rhubarbwood.example/rhubarbwood/internal/objstore"
)

// sliceLength is the range of reservation time whose records share one platform
// kind, so that a sweep lists a small set instead of every record. It is a
// constant because hosts that disagreed on it would look for the record of one
// reservation under different kinds.
const sliceLength = 10 * time.Minute

// reservationID is the id that the caller assigned to a reservation: a ULID,
// whose first part is its creation time.
type reservationID struct{ id ulid.ULID }

// parseID parses the text form in upper or lower case. It rejects everything
// that is not exactly a ULID, because two spellings of an id must map to one
// record.
func parseID(s string) (reservationID, error) {
	id, err := ulid.ParseStrict(s)
	if err != nil {
		return reservationID{}, Error.New("reservation id: %w", err)
	}
	return reservationID{id}, nil
}

// String returns the canonical form.
func (r reservationID) String() string { return r.id.String() }

// time returns the creation time of the id, by the caller's clock.
func (r reservationID) time() time.Time { return ulid.Time(r.id.Time()) }

// kind returns the platform kind of the reservation's record; see sliceLength.
func (r reservationID) kind() string { return timeSliceOf(r.time()).kind() }

// timeSlice is the index of a time slice of sliceLength, counted from the Unix
// epoch.
type timeSlice int64

const sliceSeconds = int64(sliceLength / time.Second)

// timeSliceOf returns the slice that contains t.
func timeSliceOf(t time.Time) timeSlice { return timeSlice(t.Unix() / sliceSeconds) }

// kind returns the platform kind of the slice's records.
func (s timeSlice) kind() string { return fmt.Sprintf("%s.%d", objstore.KindClaim, int64(s)) }

// end returns the first instant after the slice.
func (s timeSlice) end() time.Time { return time.Unix((int64(s)+1)*sliceSeconds, 0) }

// expired reports whether the id is older than the horizon at now, which is by
// the platform's clock.
func (r reservationID) expired(now time.Time, horizon time.Duration) bool {
	return now.Sub(r.time()) > horizon
}

// tooFarAhead reports whether the id's time is more than limit after now, which
// is by the platform's clock.
func (r reservationID) tooFarAhead(now time.Time, limit time.Duration) bool {
	return r.time().Sub(now) > limit
}
