package ticket

import (
	"context"
	"sync"
)

// Answer is a log of the bytes that a caller gets. It is read by offset, so
// that each resend and each reconnect gets the whole.
type Answer struct {
	mu    sync.Mutex
	head  Head
	bytes []byte
	// done is set once nothing more comes.
	done bool
	// moved is closed and replaced at every change.
	moved chan struct{}
}

// Head is what precedes an answer's bytes.
type Head struct {
	Status      int
	ContentType string
}

// Kept is a finished answer.
type StoredAnswer struct {
	Head  Head
	Bytes []byte
}

// Part is a piece of an answer, read at an offset.
type Part struct {
	Head  Head
	Bytes []byte
	// Done says that the answer ends with this part.
	Done bool
}

// NewAnswer returns an empty log.
func NewAnswer() *Answer { return &Answer{moved: make(chan struct{})} }

func (a *Answer) change(f func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f()
	close(a.moved)
	a.moved = make(chan struct{})
}

// Begin sets the head.
func (a *Answer) Begin(h Head) { a.change(func() { a.head = h }) }

// Write appends bytes. It never fails.
func (a *Answer) Write(p []byte) (int, error) {
	a.change(func() { a.bytes = append(a.bytes, p...) })
	return len(p), nil
}

// Close marks the end.
func (a *Answer) Close() { a.change(func() { a.done = true }) }

// Drop forgets the bytes.
func (a *Answer) Drop() { a.change(func() { a.bytes = nil }) }

// Size returns the number of bytes.
func (a *Answer) Size() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return int64(len(a.bytes))
}

// Keep returns the whole log.
func (a *Answer) Snapshot() StoredAnswer {
	a.mu.Lock()
	defer a.mu.Unlock()
	return StoredAnswer{Head: a.head, Bytes: a.bytes}
}

// Read returns what follows an offset, at most a given number of bytes. It
// waits until there is something, the answer ends, or ctx ends.
func (a *Answer) Read(ctx context.Context, from, most int) Part {
	for {
		part, moved := a.look(from, most)
		if len(part.Bytes) > 0 || part.Done {
			return part
		}
		select {
		case <-moved:
		case <-ctx.Done():
			return part
		}
	}
}

func (a *Answer) look(from, most int) (Part, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	from = min(max(from, 0), len(a.bytes))
	end := min(len(a.bytes), from+most)
	return Part{Head: a.head, Bytes: a.bytes[from:end:end], Done: a.done && end == len(a.bytes)}, a.moved
}
