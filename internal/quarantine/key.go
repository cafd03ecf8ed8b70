// Package quarantine tells requests apart by their content, so that what one attempt of a
// caller did to the targets can be held against the next.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Key names what a request asks, and for whom. Two attempts of a caller at the same thing
// have the same key, on every host. It is a cryptographic hash, so that no caller can
// make a request with the key of another one's.
type Key [16]byte

// KeyOf returns the key of a request. caller is the address that it came from, without the
// port; uri is the path with its query.
func KeyOf(caller, method, host, uri string, body []byte) Key {
	h := sha256.New()
	for _, part := range []string{caller, method, host, uri} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	h.Write(body)
	var sum [sha256.Size]byte
	h.Sum(sum[:0])
	return Key(sum[:len(Key{})])
}

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
