package standin

import (
	"sync"
	"time"
)

// Entry records one run. A run begins when the stand-in accepts the request.
type Entry struct {
	Upstream  string    `json:"upstream"`
	RequestID string    `json:"request"`
	Ticket    string    `json:"ticket,omitempty"`
	StartedAt time.Time `json:"begun"`
	// Tokens is the number of tokens generated.
	GeneratedTokens int `json:"tokens"`
	// Whole says whether the run came to its end.
	Completed bool `json:"whole"`
	// Mark is the caller's own mark of the request.
	ContentHash string `json:"mark,omitempty"`
}

// Ledger records every run of a stand-in. It is the tests' oracle.
type Ledger struct {
	mu      sync.Mutex
	entries []*Entry
}

// Begin records a new run.
func (l *Ledger) Begin(e Entry) *Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(l.entries, &e)
	return &e
}

// update changes an entry under the ledger's lock.
func (l *Ledger) update(e *Entry, change func(*Entry)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(e)
}

// Entries returns a copy of all entries.
func (l *Ledger) Entries() []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Entry, 0, len(l.entries))
	for _, e := range l.entries {
		out = append(out, *e)
	}
	return out
}

// Generated returns the number of tokens of all runs.
func (l *Ledger) GeneratedTokens() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := 0
	for _, e := range l.entries {
		sum += e.GeneratedTokens
	}
	return sum
}

// RunsOfMark counts the runs of requests with a mark.
func (l *Ledger) CountRuns(mark string) int {
	n := 0
	for _, e := range l.Entries() {
		if e.ContentHash == mark {
			n++
		}
	}
	return n
}
