package standin

import (
	"io"
	"strings"
)

// EndlessResponse is an HTTP/1.1 response of a faulty server that goes on until its connection is closed.
type EndlessResponse struct {
	Name   string
	Start  string // sent once
	Repeat string // sent again and again
	// InHead is set if the response has no end of its header.
	InHead bool
}

// EndlessResponses returns one response for each part in which a response may have no end. header has header lines,
// each with its line end, that every response with a complete header begins with.
func EndlessResponses(header string) []EndlessResponse {
	const ok = "HTTP/1.1 200 OK\r\n"
	long := strings.Repeat("x", 1<<10)
	chunked := ok + header + "Transfer-Encoding: chunked\r\n\r\n"
	return []EndlessResponse{
		{Name: "status line", Repeat: long, InHead: true},
		{Name: "reason phrase", Start: "HTTP/1.1 200 ", Repeat: long, InHead: true},
		{Name: "header name", Start: ok, Repeat: long, InHead: true},
		{Name: "header value", Start: ok + "A: ", Repeat: long, InHead: true},
		{Name: "header lines", Start: ok, Repeat: "a:\r\n", InHead: true},
		{Name: "interim responses", Repeat: "HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n", InHead: true},
		{Name: "body without length", Start: ok + header + "\r\n", Repeat: long},
		{Name: "body with a long length", Start: ok + header + "Content-Length: 1000000000000\r\n\r\n", Repeat: long},
		{Name: "chunks", Start: chunked, Repeat: "400\r\n" + long + "\r\n"},
		{Name: "chunk size", Start: chunked, Repeat: "0"},
		{Name: "chunk extension", Start: chunked + "1;", Repeat: long},
		{Name: "empty chunk extensions", Start: chunked, Repeat: "1;aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\nx\r\n"},
		{Name: "trailer value", Start: chunked + "0\r\nA: ", Repeat: long},
		{Name: "trailer lines", Start: chunked + "0\r\n", Repeat: "a: b\r\n"},
	}
}

// endlessWriteBytes is the size of one write of an endless response.
const endlessWriteBytes = 64 << 10

// Send sends the response until max bytes are written or a write fails, and returns the number of bytes written.
func (e EndlessResponse) Send(w io.Writer, max int) int {
	sent, err := io.WriteString(w, e.Start)
	block := strings.Repeat(e.Repeat, endlessWriteBytes/len(e.Repeat))
	for err == nil && sent < max {
		var n int
		n, err = io.WriteString(w, block)
		sent += n
	}
	return sent
}
