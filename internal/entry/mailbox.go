package entry

import "sync"

// mailbox is an unbounded queue from the relay calls of a search to the
// goroutine that merges their results. Adding never blocks, and all queued
// messages are taken at once: with 500 shards per search, a channel operation
// for each message costs more than the merge. Messages added after the end of
// the search are discarded with the mailbox.
type mailbox struct {
	ready chan struct{} // receives a value when messages may be queued

	mu       sync.Mutex
	messages []message
}

func newMailbox() *mailbox { return &mailbox{ready: make(chan struct{}, 1)} }

func (b *mailbox) add(m message) {
	b.mu.Lock()
	b.messages = append(b.messages, m)
	b.mu.Unlock()
	select {
	case b.ready <- struct{}{}:
	default:
	}
}

// takeAll returns the queued messages and reuses spare as the buffer for the
// next ones.
func (b *mailbox) takeAll(spare []message) []message {
	b.mu.Lock()
	defer b.mu.Unlock()
	taken := b.messages
	b.messages = spare[:0]
	return taken
}
