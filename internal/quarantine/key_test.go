package quarantine

import (
	"testing"

	"github.com/matryer/is"
)

func TestKeyTellsRequestsApart(t *testing.T) {
	is := is.New(t)
	key := KeyOf("10.0.0.1", "POST", "a.example", "/one/x", []byte("body"))
	is.Equal(key, KeyOf("10.0.0.1", "POST", "a.example", "/one/x", []byte("body")))
	seen := map[Key]bool{key: true}
	for _, other := range []Key{
		KeyOf("10.0.0.2", "POST", "a.example", "/one/x", []byte("body")),
		KeyOf("10.0.0.1", "PUT", "a.example", "/one/x", []byte("body")),
		KeyOf("10.0.0.1", "POST", "b.example", "/one/x", []byte("body")),
		KeyOf("10.0.0.1", "POST", "a.example", "/one/x?", []byte("body")),
		KeyOf("10.0.0.1", "POST", "a.example", "/one/x", []byte("bod")),
		KeyOf("10.0.0.1", "POST", "a.example", "/one/xb", []byte("ody")), // a part does not run into the next
		KeyOf("10.0.0.1P", "OST", "a.example", "/one/x", []byte("body")),
	} {
		is.True(!seen[other])
		seen[other] = true
	}
	is.Equal(len(key.String()), 32)
}
