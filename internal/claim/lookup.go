package claim

import "context"

// Settlement is what an operator reads of a reservation.
type Settlement struct {
	ReservationID string
	Found         bool // there is a record
	Record        Record
	OwnerAlive    bool // the host in the record still answers for its attempt
}

// Lookup reads the record of a reservation for an operator; it changes
// nothing. A malformed id and a platform that does not answer are errors.
func (c *Claims) Lookup(ctx context.Context, reservation string) (Settlement, error) {
	id, err := parseID(reservation)
	if err != nil {
		return Settlement{}, err
	}
	e, err := c.records.get(ctx, id)
	if err != nil {
		return Settlement{}, err
	}
	s := Settlement{ReservationID: id.String(), Found: e.version > 0, Record: e.rec}
	if s.Found {
		_, s.OwnerAlive = findHost(c.view, e.rec)
	}
	return s, nil
}
