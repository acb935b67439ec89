package standin

import (
	"sync"
	"time"
)

// Entry records one run. A run begins when the stand-in accepts the request.
type Entry struct {
	Upstream string    `json:"upstream"`
	Request  string    `json:"request"`
	Ticket   string    `json:"ticket,omitempty"`
	Begun    time.Time `json:"begun"`
	// Tokens is the number of tokens generated.
	Tokens int `json:"tokens"`
	// Whole says whether the run came to its end.
	Whole bool `json:"whole"`
	// Mark is the caller's own mark of the request.
	Mark string `json:"mark,omitempty"`
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
func (l *Ledger) Generated() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := 0
	for _, e := range l.entries {
		sum += e.Tokens
	}
	return sum
}

// RunsOfMark counts the runs of requests with a mark.
func (l *Ledger) RunsOfMark(mark string) int {
	n := 0
	for _, e := range l.Entries() {
		if e.Mark == mark {
			n++
		}
	}
	return n
}
