package objstore

import (
	"encoding/json"
	"time"
)

// envelope is the spec of a record that a Client wrote. The platform keeps a
// revision for each record, but neither a version that counts its changes nor
// timestamps, so they are stored beside the value.
type envelope struct {
	Meta  *envelopeMeta   `json:"rhubarbwood"`
	Value json.RawMessage `json:"value"`
}

type envelopeMeta struct {
	Version uint64    `json:"version"`
	Created time.Time `json:"created"` // by the platform's clock
	Changed time.Time `json:"changed"` // by the platform's clock
}

// Decode decodes the object of a record. A record that was not written by a
// Client, such as one written manually, has version 1 and no timestamps.
func Decode(kind string, r Record) (Object, error) {
	o := Object{Kind: kind, Name: r.Name, Revision: r.Revision.Number, Era: r.Revision.Era, Deleted: r.Deleted}
	if r.Problem != nil {
		return o, Error.New("record %s/%s: %w", kind, r.Name, r.Problem)
	}
	var e envelope
	if err := json.Unmarshal(r.Spec, &e); err != nil || e.Meta == nil {
		o.Version, o.Value = 1, r.Spec
		if !json.Valid(r.Spec) {
			return o, Error.New("record %s/%s is not JSON", kind, r.Name)
		}
		return o.withoutDeletedValue(), nil
	}
	o.Version, o.Value = e.Meta.Version, e.Value
	o.Created, o.Changed = e.Meta.Created, e.Meta.Changed
	return o.withoutDeletedValue(), nil
}

// withoutDeletedValue clears the value of a deleted object and counts the
// deletion as a version of its own.
func (o Object) withoutDeletedValue() Object {
	if o.Deleted {
		o.Version++
		o.Value = nil
	}
	return o
}

// seal encodes the object's value, version and timestamps as a record's spec.
func (o Object) seal() (json.RawMessage, error) {
	value := o.Value
	if len(value) == 0 {
		value = json.RawMessage("null")
	}
	spec, err := json.Marshal(envelope{
		Meta:  &envelopeMeta{Version: o.Version, Created: o.Created, Changed: o.Changed},
		Value: value,
	})
	if err != nil {
		return nil, Error.New("encode %s/%s: %w", o.Kind, o.Name, err)
	}
	return spec, nil
}
