package objectstore

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/platform"
	"rhubarbwood.example/rhubarbwood/internal/standin"
)

const testHost = "platform.test"

type client struct{ http http.Client }

func newClient(s *Store) *client {
	var tr standin.Transport
	tr.Handle(testHost, s.Handler())
	return &client{http.Client{Transport: &tr}}
}

// do makes one call and decodes its answer into out, unless that is nil. It
// returns 0 if there was no answer.
func (c *client) do(ctx context.Context, method, path, ifVersion, body string, out any) int {
	r, _ := http.NewRequestWithContext(ctx, method, "http://"+testHost+path, strings.NewReader(body))
	if ifVersion != "" {
		r.Header.Set(platform.HeaderIfVersion, ifVersion)
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if resp.Header.Get(platform.HeaderTime) == "" && strings.HasPrefix(path, "/v1/") {
		return -1
	}
	if out != nil && json.NewDecoder(resp.Body).Decode(out) != nil {
		return -2
	}
	return resp.StatusCode
}

func (c *client) put(ctx context.Context, name string, version int, value string, out any) int {
	return c.do(ctx, "PUT", "/v1/objects/claim/"+name, strconv.Itoa(version), value, out)
}

func TestConditionalWrites(t *testing.T) {
	is := is.New(t)
	c := newClient(New(DefaultConfig()))
	var o platform.Object
	is.Equal(c.put(t.Context(), "a", 0, `{"n":1}`, &o), http.StatusOK)
	is.Equal(o.Version, uint64(1))
	is.Equal(c.put(t.Context(), "a", 0, `{"n":2}`, &o), http.StatusConflict)
	is.Equal(string(o.Value), `{"n":1}`) // the object that stands
	is.Equal(c.put(t.Context(), "a", 1, `{"n":2}`, &o), http.StatusOK)
	is.Equal(o.Version, uint64(2))
	is.Equal(c.do(t.Context(), "DELETE", "/v1/objects/claim/a", "1", "", nil), http.StatusConflict)
	is.Equal(c.do(t.Context(), "DELETE", "/v1/objects/claim/a", "2", "", nil), http.StatusOK)
	is.Equal(c.do(t.Context(), "GET", "/v1/objects/claim/a", "", "", nil), http.StatusNotFound)
	is.Equal(c.put(t.Context(), "a", 2, `{}`, &o), http.StatusConflict)
	is.Equal(o.Name, "a")
	var absent platform.Object
	is.Equal(c.put(t.Context(), "b", 3, `{}`, &absent), http.StatusConflict)
	is.Equal(absent.Version, uint64(0))
}
