package discovery

import (
	"context"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/quarantine"
)

// noPeers is the Peers of a host without any.
type noPeers struct{}

func (noPeers) Watches() bool  { return true }
func (noPeers) Rank() int      { return 0 }
func (noPeers) Hosts() int     { return 1 }
func (noPeers) Isolated() bool { return false }
func (noPeers) Poll(context.Context, Cursor, time.Duration) (Update, error) {
	return Update{}, Error.New("there are no peers")
}
func (noPeers) BootstrapContacts() []string { return nil }
func (noPeers) FetchState(context.Context, string, Cursor) (Update, error) {
	return Update{}, Error.New("there are no peers")
}
func (noPeers) SendFindings(context.Context, []Finding)               {}
func (noPeers) SendRequests(context.Context, []quarantine.Record) int { return 0 }
