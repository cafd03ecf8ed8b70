package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Lengths of the parts of a key, in bytes. To forge a request with the content hash of another one,
// a caller has to find a second preimage for 80 bits of a cryptographic hash.
const (
	contentBytes = 10
	callerBytes  = 6
)

// Key identifies requests by content: those of one caller or, if the caller part is zero, those of
// any caller.
type Key [contentBytes + callerBytes]byte

// Caller is the hash of a caller's address.
type Caller [callerBytes]byte

// MarshalText encodes the hash as hexadecimal digits.
func (c Caller) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(c[:])), nil }

// UnmarshalText decodes the result of MarshalText.
func (c *Caller) UnmarshalText(text []byte) error {
	if n, err := hex.Decode(make([]byte, len(text)), text); err != nil || n != len(c) {
		return Error.New("caller %q: want %d hexadecimal digits", text, 2*len(c))
	}
	_, err := hex.Decode(c[:], text)
	return Error.Wrap(err)
}

// Request holds the keys of a request. Two attempts of one caller with the same content have the
// same keys on every host.
type Request struct {
	OfCaller Key
	OfAnyone Key // for callers with many addresses, whose copies of the request each end targets
}

// NewRequest returns the keys of a request. caller is its source address without the port; uri is
// the path with its query.
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
	r.OfCaller[contentBytes] |= 1 // never zero, which means any caller
	return r
}

// Content returns the hash of the request's content, without the caller, in hexadecimal digits.
func (r Request) Content() string { return r.OfAnyone.Content() }

// Content returns the content part of the key in hexadecimal digits.
func (k Key) Content() string { return hex.EncodeToString(k[:contentBytes]) }

// OfAnyone reports whether the key is for requests of any caller.
func (k Key) OfAnyone() bool { return k.caller() == Caller{} }

func (k Key) caller() Caller { return Caller(k[contentBytes:]) }

// ParseKey parses the result of String.
func ParseKey(text string) (Key, error) {
	bytes, err := hex.DecodeString(text)
	if err != nil || len(bytes) != len(Key{}) {
		return Key{}, Error.New("key %q: want %d hexadecimal digits", text, 2*len(Key{}))
	}
	return Key(bytes), nil
}

// String returns the key in hexadecimal digits.
func (k Key) String() string { return hex.EncodeToString(k[:]) }
