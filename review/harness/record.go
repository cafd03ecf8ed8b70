//go:build review

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// event is one line of the record: what was sent, answered or run.
type event struct {
	Kind   string // sent, answered, run, rejected, note
	ID     string
	Target string
	Status int
	Text   string
	at     time.Duration
}

// record collects the events of one run of a case.
type record struct {
	mu     sync.Mutex
	start  time.Time
	events []event
}

func newRecord() *record { return &record{start: time.Now()} }

func (r *record) add(e event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.at = time.Since(r.start)
	r.events = append(r.events, e)
}

func (r *record) note(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	fmt.Println(text)
	r.add(event{Kind: "note", Text: text})
}

// write writes the record to a file, oldest event first.
func (r *record) write(file string) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	defer f.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.events {
		fmt.Fprintf(f, "%9.4f %-9s", e.at.Seconds(), e.Kind)
		if e.ID != "" {
			fmt.Fprintf(f, " id=%s", e.ID)
		}
		if e.Target != "" {
			fmt.Fprintf(f, " at=%s", e.Target)
		}
		if e.Kind == "answered" {
			fmt.Fprintf(f, " status=%d", e.Status)
		}
		if e.Text != "" {
			fmt.Fprintf(f, " %s", e.Text)
		}
		fmt.Fprintln(f)
	}
	return nil
}

// countByID returns the number of events of a kind for each request id.
func (r *record) countByID(kind string) map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := map[string]int{}
	for _, e := range r.events {
		if e.Kind == kind {
			counts[e.ID]++
		}
	}
	return counts
}
