package entry

import "sync"

// mailbox carries the messages of relay calls to the goroutine that merges
// them. Putting never blocks, and many messages are taken at once: with 500
// shards a search, a channel operation for each costs more than the merge.
// What is put after the search has ended is dropped with the mailbox.
type mailbox struct {
	bell chan struct{} // has a value when there may be messages

	mu       sync.Mutex
	messages []message
}

func newMailbox() *mailbox { return &mailbox{bell: make(chan struct{}, 1)} }

func (b *mailbox) put(m message) {
	b.mu.Lock()
	b.messages = append(b.messages, m)
	b.mu.Unlock()
	select {
	case b.bell <- struct{}{}:
	default:
	}
}

// take returns the messages that are there and keeps spare for those to come.
func (b *mailbox) take(spare []message) []message {
	b.mu.Lock()
	defer b.mu.Unlock()
	taken := b.messages
	b.messages = spare[:0]
	return taken
}
