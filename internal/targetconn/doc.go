// Package targetconn pools the connections of a host to one target and sends
// requests over them: each request at most once, with a definite result whether
// any of it was sent, and with a response that is verified to belong to the
// request. It does not retry, and does not choose targets. Begin reading at Pool
// (pool.go), then Conn.Exchange (conn.go).
package targetconn
