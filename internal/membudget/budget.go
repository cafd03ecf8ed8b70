package membudget

import (
	"fmt"
	"sync"
)

const (
	// smallMessageBytes is the size up to which a message is not given up for others.
	smallMessageBytes = 64 << 10
	// smallFraction is the part of a budget that is left to small messages.
	smallFraction = 4
)

// Budget limits the memory that the messages of one source hold together. Its methods are safe for concurrent use.
// A nil Budget has no limit.
type Budget struct {
	source string
	max    int64 // bytes

	mu      sync.Mutex
	held    int64 // bytes
	peak    int64 // most bytes held at once
	givenUp int64 // messages
	// receiving has the messages above smallMessageBytes that are not complete.
	receiving map[*Message]struct{}
}

// NewBudget returns a budget of max bytes without metrics. source names it in errors.
func NewBudget(source string, max int64) *Budget {
	return &Budget{source: source, max: max, receiving: map[*Message]struct{}{}}
}

// Stats are the figures of a budget.
type Stats struct {
	Held    int64 // bytes that messages hold
	Peak    int64 // most bytes that they held at once
	Max     int64 // bytes that they may hold
	GivenUp int64 // messages given up
}

// Stats returns the figures of the budget.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Stats{Held: b.held, Peak: b.peak, Max: b.max, GivenUp: b.givenUp}
}

// ExceededError means that a message was given up because the memory of its source was used up.
type ExceededError struct {
	Source string
	Size   int64 // bytes that the message held
	Held   int64 // bytes that all messages of the source held, this one included
	Max    int64 // bytes that they may hold
}

// Error implements error.
func (e *ExceededError) Error() string {
	return fmt.Sprintf("the message of %d bytes was given up: messages of %s hold %d of %d bytes", e.Size, e.Source, e.Held, e.Max)
}

// errReleased means that a message was released while it was still read.
var errReleased = Error.New("the message was released")

// Message is the memory of one message. It is released once the message is no longer used.
type Message struct {
	budget *Budget
	// abort makes pending and further reads of the message fail. It is called with the budget's lock held.
	abort func()

	// The fields below are guarded by the budget's lock.
	size     int64 // bytes
	endless  bool  // its length is not known: it may have no end
	complete bool
	released bool
	givenUp  *ExceededError
}

// Open returns a message of 0 bytes. abort is called if the message is given up for others; it must make pending
// reads of the message fail, and must neither block nor use the budget.
func (b *Budget) Open(abort func()) *Message { return &Message{budget: b, abort: abort, endless: true} }

// HasLength records that the length of the message is known: it is given up only after those that may have no end.
func (m *Message) HasLength() {
	if m.budget == nil {
		return
	}
	m.budget.mu.Lock()
	defer m.budget.mu.Unlock()
	m.endless = false
}

// Grow adds n bytes, which may be negative, to the message. It must be called before the memory is allocated. It
// fails with an *ExceededError if the message was given up.
func (m *Message) Grow(n int64) error {
	b := m.budget
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case m.givenUp != nil:
		return m.givenUp
	case m.released:
		return errReleased
	}
	b.add(m, n)
	for b.held > b.maxFor(m) {
		victim := b.largest()
		if victim == nil {
			victim = m // all others are small or complete
		}
		b.giveUp(victim)
		if victim == m {
			return m.givenUp
		}
	}
	b.peak = max(b.peak, b.held)
	return nil
}

// Complete records that the message was received: it is not given up any more. It fails with an *ExceededError if
// the message was given up before.
func (m *Message) Complete() error {
	b := m.budget
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if m.givenUp != nil {
		return m.givenUp
	}
	m.complete = true
	delete(b.receiving, m)
	return nil
}

// Err returns an *ExceededError if the message was given up.
func (m *Message) Err() error {
	if m.budget == nil {
		return nil
	}
	m.budget.mu.Lock()
	defer m.budget.mu.Unlock()
	if m.givenUp != nil {
		return m.givenUp
	}
	return nil
}

// Release frees the memory of the message, which can't grow any more. It may be called more than once.
func (m *Message) Release() {
	b := m.budget
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	m.complete, m.released = true, true
	b.add(m, -m.size)
}

// add changes the size of a message. The caller holds the lock.
func (b *Budget) add(m *Message, n int64) {
	m.size += n
	b.held += n
	if m.size > smallMessageBytes && !m.complete {
		b.receiving[m] = struct{}{}
	} else {
		delete(b.receiving, m)
	}
}

// maxFor returns how much all messages may hold for this one to grow. The caller holds the lock.
func (b *Budget) maxFor(m *Message) int64 {
	if m.size > smallMessageBytes {
		return b.max - b.max/smallFraction
	}
	return b.max
}

// largest returns the message to give up: the largest of those that may have no end or, if there is none, of the
// others that are being received; nil if all messages are small or complete. The caller holds the lock.
func (b *Budget) largest() *Message {
	var found *Message
	for m := range b.receiving {
		if found == nil || m.endless && !found.endless || m.endless == found.endless && m.size > found.size {
			found = m
		}
	}
	return found
}

// giveUp frees the memory of a message and ends its reading. The caller holds the lock.
func (b *Budget) giveUp(m *Message) {
	m.givenUp = &ExceededError{Source: b.source, Size: m.size, Held: b.held, Max: b.max}
	b.add(m, -m.size)
	b.givenUp++
	m.abort()
}
