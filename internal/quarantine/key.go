// Package quarantine keeps requests from the targets that end under them. It tells requests apart
// by their content, so that what one attempt of a caller did to the targets is held against the
// next, on every host.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Lengths of the parts of a key, in bytes. A caller who wants to make a request with the content
// of another one's has to find a second text for 80 bits of a cryptographic hash.
const (
	contentBytes = 10
	callerBytes  = 6
)

// Key names requests of one content: those of one caller, or, where the part of the caller is
// zero, those of anyone.
type Key [contentBytes + callerBytes]byte

// Caller is the hash of a caller's address.
type Caller [callerBytes]byte

// MarshalText writes the hash in hexadecimal digits.
func (c Caller) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(c[:])), nil }

// UnmarshalText reads what MarshalText wrote.
func (c *Caller) UnmarshalText(text []byte) error {
	if n, err := hex.Decode(make([]byte, len(text)), text); err != nil || n != len(c) {
		return Error.New("caller %q: want %d hexadecimal digits", text, 2*len(c))
	}
	_, err := hex.Decode(c[:], text)
	return Error.Wrap(err)
}

// Request is the keys of a request. Two attempts of a caller at the same thing have the same
// ones, on every host.
type Request struct {
	OfCaller Key
	OfAnyone Key // a caller may come from many addresses, and each of its copies end targets
}

// NewRequest returns the keys of a request. caller is the address that it came from, without the
// port; uri is the path with its query.
func NewRequest(caller, method, host, uri string, body []byte) Request {
	h := sha256.New()
	for _, part := range []string{method, host, uri} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	h.Write(body)
	var r Request
	copy(r.OfAnyone[:contentBytes], h.Sum(nil))
	r.OfCaller = r.OfAnyone
	of := sha256.Sum256([]byte(caller))
	copy(r.OfCaller[contentBytes:], of[:])
	r.OfCaller[contentBytes] |= 1 // never zero
	return r
}

// Content returns the part of the keys that tells what is asked, whoever asks, in hexadecimal
// digits.
func (r Request) Content() string { return r.OfAnyone.Content() }

// Content returns the part of the key that tells what is asked, in hexadecimal digits.
func (k Key) Content() string { return hex.EncodeToString(k[:contentBytes]) }

// OfAnyone reports whether the key is that of requests of any caller.
func (k Key) OfAnyone() bool { return k.caller() == Caller{} }

func (k Key) caller() Caller { return Caller(k[contentBytes:]) }

// ParseKey returns the key of a text that String made.
func ParseKey(text string) (Key, error) {
	bytes, err := hex.DecodeString(text)
	if err != nil || len(bytes) != len(Key{}) {
		return Key{}, Error.New("key %q: want %d hexadecimal digits", text, 2*len(Key{}))
	}
	return Key(bytes), nil
}

// String returns the key in hexadecimal digits.
func (k Key) String() string { return hex.EncodeToString(k[:]) }
