package quarantine

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"
)

func TestKeysDistinguishRequests(t *testing.T) {
	is := is.New(t)
	request := NewRequest("10.0.0.1", "POST", "a.example", "/one/x", []byte("body"))
	is.Equal(request, NewRequest("10.0.0.1", "POST", "a.example", "/one/x", []byte("body")))
	seen := map[Key]bool{request.OfAnyone: true, request.OfCaller: true}
	is.Equal(len(seen), 2)
	for _, other := range []Request{
		NewRequest("10.0.0.1", "PUT", "a.example", "/one/x", []byte("body")),
		NewRequest("10.0.0.1", "POST", "b.example", "/one/x", []byte("body")),
		NewRequest("10.0.0.1", "POST", "a.example", "/one/x?", []byte("body")),
		NewRequest("10.0.0.1", "POST", "a.example", "/one/x", []byte("bod")),
		NewRequest("10.0.0.1", "POST", "a.example", "/one/xb", []byte("ody")), // the boundary between parts is part of the hash
		NewRequest("10.0.0.1", "POST", "a.exampl", "e/one/x", []byte("body")),
	} {
		is.True(!seen[other.OfAnyone] && !seen[other.OfCaller])
		seen[other.OfAnyone], seen[other.OfCaller] = true, true
	}
}

// Requests of other callers with the same content have another caller key, and the same key of any
// caller.
func TestKeyOfAnyoneLeavesTheCallerOut(t *testing.T) {
	is := is.New(t)
	a, b := NewRequest("10.0.0.1", "GET", "a.example", "/x", nil), NewRequest("10.0.0.2", "GET", "a.example", "/x", nil)
	is.True(a.OfCaller != b.OfCaller)
	is.Equal(a.OfAnyone, b.OfAnyone)
	is.True(a.OfAnyone.OfAnyone() && !a.OfCaller.OfAnyone())
	is.Equal(a.Content(), a.OfCaller.Content())
}

func TestKeysAreReadAsTheyAreWritten(t *testing.T) {
	is := is.New(t)
	key := NewRequest("10.0.0.1", "GET", "a.example", "/x", nil).OfCaller
	read, err := ParseKey(key.String())
	is.NoErr(err)
	is.Equal(read, key)
	for _, bad := range []string{"", "zz", key.String()[2:], key.String() + "00"} {
		_, err := ParseKey(bad)
		is.True(err != nil)
	}
	text, err := json.Marshal(key.caller())
	is.NoErr(err)
	var caller Caller
	is.NoErr(json.Unmarshal(text, &caller))
	is.Equal(caller, key.caller())
	for _, bad := range []string{`""`, `"zz"`, `"0011223344"`, `"00112233445566"`, `7`} {
		is.True(json.Unmarshal([]byte(bad), &caller) != nil)
	}
}
