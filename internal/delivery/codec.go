package delivery

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"sync"

	"rhubarbwood.example/rhubarbwood/internal/platform"
)

const (
	formatVersion = 1
	maxValue      = platform.MaxValue - 4096 // leaves room for what the platform adds
	maxDecoded    = 64 << 20                 // of one object, against a corrupt one
)

// envelope is the value of every object of this package: JSON, compressed.
type envelope struct {
	Format int    `json:"format"`
	Data   []byte `json:"data"`
}

// gzip writers hold most of a megabyte each, so they are kept.
var writers = sync.Pool{New: func() any { return gzip.NewWriter(io.Discard) }}

func encode(v any) ([]byte, error) {
	var buf bytes.Buffer
	w := writers.Get().(*gzip.Writer)
	defer writers.Put(w)
	w.Reset(&buf)
	if err := json.NewEncoder(w).Encode(v); err != nil {
		return nil, Error.New("encode: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, Error.New("compress: %w", err)
	}
	b, err := json.Marshal(envelope{Format: formatVersion, Data: buf.Bytes()})
	return b, Error.Wrap(err)
}

func decode(value []byte, into any) error {
	var e envelope
	if err := json.Unmarshal(value, &e); err != nil {
		return Error.New("decode: %w", err)
	}
	if e.Format != formatVersion {
		return Error.New("format %d is not known", e.Format)
	}
	r, err := gzip.NewReader(bytes.NewReader(e.Data))
	if err != nil {
		return Error.New("decompress: %w", err)
	}
	if err := json.NewDecoder(io.LimitReader(r, maxDecoded)).Decode(into); err != nil {
		return Error.New("decode: %w", err)
	}
	return nil
}

// encodeWindow returns the window's value, shrinking the window until it fits
// one object.
func encodeWindow(w *Window) ([]byte, error) {
	for {
		value, err := encode(w.object())
		if err != nil || len(value) <= maxValue {
			return value, err
		}
		w.shrink()
	}
}

func decodeWindow(value []byte) (*Window, error) {
	var o windowObject
	if err := decode(value, &o); err != nil {
		return nil, err
	}
	return o.window()
}

// sameValue reports whether two values hold the same data. The platform may
// lay out the JSON of a value in another way.
func sameValue(a, b []byte) bool {
	var x, y envelope
	if json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil {
		return false
	}
	return bytes.Equal(x.Data, y.Data)
}
