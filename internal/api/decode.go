package api

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/oklog/ulid/v2"
	goahttp "goa.design/goa/v3/http"
	goa "goa.design/goa/v3/pkg"
)

const headerRequestID = "X-Request-Id"

// errorBodyTooLarge names the goa error of a body over the limit. It must differ
// from every error name of the design, as goa would encode it as a refusal.
const errorBodyTooLarge = "body_too_large"

type requestIDKey struct{}

// requestID returns the id of the request that ctx belongs to.
func requestID(ctx context.Context) string {
	id, _ := ctx.Value(requestIDKey{}).(string)
	return id
}

// withRequestID assigns a new id to a request that has none, and returns the id in
// the response header.
func withRequestID(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(headerRequestID)
		if id == "" {
			id = ulid.Make().String()
			r.Header.Set(headerRequestID, id)
		}
		w.Header().Set(headerRequestID, id)
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), requestIDKey{}, id)))
	})
}

// newDecoder returns a decoder that refuses fields that are not in the design, as a
// misspelt field would otherwise be ignored silently.
func newDecoder(r *http.Request) goahttp.Decoder { return strictDecoder{r} }

type strictDecoder struct{ request *http.Request }

// Decode decodes the body into v. For a body over the size limit it returns
// errorBodyTooLarge.
func (d strictDecoder) Decode(v any) error {
	dec := json.NewDecoder(d.request.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return decodeError(err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return goa.DecodePayloadError("more than one JSON value in the body")
	}
	return nil
}

func decodeError(err error) error {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		err = fmt.Errorf("the body is over the limit of %d bytes", large.Limit)
		return goa.NewServiceError(err, errorBodyTooLarge, false, false, false)
	}
	return err
}
