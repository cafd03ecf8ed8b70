package delivery

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"sync"

	"google.golang.org/protobuf/proto"

	"rhubarbwood.example/rhubarbwood/internal/delivery/deliverypb"
	"rhubarbwood.example/rhubarbwood/internal/objstore"
)

const (
	formatVersion   = 1
	maxValueBytes   = objstore.MaxValue - 4096 // leaves room for what the platform adds to a value
	maxDecodedBytes = 32 << 20                 // of one object; limits the memory that a corrupt object can use
)

// envelope is the value of every object of this package. Data is a
// gzip-compressed protobuf message.
type envelope struct {
	Format int    `json:"format"`
	Data   []byte `json:"data"`
}

// gzipWriters reuses writers, because each one allocates most of a megabyte.
var gzipWriters = sync.Pool{New: func() any { return gzip.NewWriter(io.Discard) }}

func encode(m proto.Message) ([]byte, error) {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return nil, Error.New("encode: %w", err)
	}
	var buf bytes.Buffer
	w := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(w)
	w.Reset(&buf)
	if _, err := w.Write(b); err != nil {
		return nil, Error.New("compress: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, Error.New("compress: %w", err)
	}
	value, err := json.Marshal(envelope{Format: formatVersion, Data: buf.Bytes()})
	return value, Error.Wrap(err)
}

func decode(value []byte, into proto.Message) error {
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
	b, err := io.ReadAll(io.LimitReader(r, maxDecodedBytes))
	if err != nil {
		return Error.New("decompress: %w", err)
	}
	if err := proto.Unmarshal(b, into); err != nil {
		return Error.New("decode: %w", err)
	}
	return nil
}

// encodeWindow returns the window's value. It shrinks the window until the
// value fits into one object.
func encodeWindow(w *Window) ([]byte, error) {
	for {
		value, err := encode(w.message())
		if err != nil || len(value) <= maxValueBytes {
			return value, err
		}
		w.shrink()
	}
}

// decodeWindow returns the window without its rows, and the rows as a checked
// message.
func decodeWindow(value []byte) (*Window, *deliverypb.Rows, error) {
	m := &deliverypb.Window{}
	if err := decode(value, m); err != nil {
		return nil, nil, err
	}
	return windowOfMessage(m), m.GetRows(), checkRows(m.GetRows())
}

// sameValue reports whether two values contain the same data. The platform may
// format the JSON of a value differently.
func sameValue(a, b []byte) bool {
	var x, y envelope
	if json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil {
		return false
	}
	return bytes.Equal(x.Data, y.Data)
}
