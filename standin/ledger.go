package standin

import (
	"sync"
	"time"
)

// Entry records the run of one request. The run starts when the upstream accepts
// the request.
type Entry struct {
	Upstream        string    `json:"upstream"`
	RequestID       string    `json:"request"`
	Ticket          string    `json:"ticket,omitempty"`
	StartedAt       time.Time `json:"begun"`
	GeneratedTokens int       `json:"tokens"`
	// Completed reports whether the run finished.
	Completed bool `json:"whole"`
	// ContentHash is the hash of the prompt or body, by which tests find the runs
	// of a request.
	ContentHash string `json:"mark,omitempty"`
}

// Ledger records every run of a simulated upstream. Tests compare it with what
// clients received.
type Ledger struct {
	mu      sync.Mutex
	entries []*Entry
}

// Begin records the start of a run and returns its entry.
func (l *Ledger) Begin(e Entry) *Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(l.entries, &e)
	return &e
}

// update applies mutate to an entry under the ledger's lock.
func (l *Ledger) update(e *Entry, mutate func(*Entry)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	mutate(e)
}

// Entries returns copies of all entries.
func (l *Ledger) Entries() []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Entry, 0, len(l.entries))
	for _, e := range l.entries {
		out = append(out, *e)
	}
	return out
}

// GeneratedTokens returns the total number of tokens of all runs.
func (l *Ledger) GeneratedTokens() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := 0
	for _, e := range l.entries {
		sum += e.GeneratedTokens
	}
	return sum
}

// CountRuns returns the number of runs with the given content hash.
func (l *Ledger) CountRuns(contentHash string) int {
	n := 0
	for _, e := range l.Entries() {
		if e.ContentHash == contentHash {
			n++
		}
	}
	return n
}
