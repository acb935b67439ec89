package ticket

import (
	"context"
	"sync"
)

// Answer is an append-only log of the response to one request. Readers read it
// by offset, so a caller that retries or reconnects gets the whole response. It
// is safe for concurrent use.
type Answer struct {
	mu    sync.Mutex
	head  Head
	bytes []byte
	// done is set once the answer is complete.
	done bool
	// changed is closed and replaced on every update, which wakes all readers.
	changed chan struct{}
}

// Head holds the HTTP status and content type that precede an answer's bytes.
type Head struct {
	Status      int
	ContentType string
}

// StoredAnswer is the content of an answer at one point in time.
type StoredAnswer struct {
	Head  Head
	Bytes []byte
}

// Part is a section of an answer, as returned by a read at an offset.
type Part struct {
	Head  Head
	Bytes []byte
	// Done reports whether the answer ends with this part.
	Done bool
}

// NewAnswer returns an empty answer.
func NewAnswer() *Answer { return &Answer{changed: make(chan struct{})} }

// update calls f with the lock held and wakes all waiting readers.
func (a *Answer) update(f func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f()
	close(a.changed)
	a.changed = make(chan struct{})
}

// Begin sets the status and content type of the answer.
func (a *Answer) Begin(h Head) { a.update(func() { a.head = h }) }

// Write appends p to the answer. It always returns a nil error.
func (a *Answer) Write(p []byte) (int, error) {
	a.update(func() { a.bytes = append(a.bytes, p...) })
	return len(p), nil
}

// Close marks the answer as complete.
func (a *Answer) Close() { a.update(func() { a.done = true }) }

// Drop discards the bytes and keeps the head.
func (a *Answer) Drop() { a.update(func() { a.bytes = nil }) }

// Size returns the number of bytes written so far.
func (a *Answer) Size() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return int64(len(a.bytes))
}

// Snapshot returns the head and all bytes written so far.
func (a *Answer) Snapshot() StoredAnswer {
	a.mu.Lock()
	defer a.mu.Unlock()
	return StoredAnswer{Head: a.head, Bytes: a.bytes}
}

// Read returns up to limit bytes that start at offset. It blocks until bytes
// are available, the answer is complete, or ctx is done.
func (a *Answer) Read(ctx context.Context, offset, limit int) Part {
	for {
		part, changed := a.readAvailable(offset, limit)
		if len(part.Bytes) > 0 || part.Done {
			return part
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return part
		}
	}
}

// readAvailable returns the bytes available at offset, up to limit, and the
// channel that the next update closes.
func (a *Answer) readAvailable(offset, limit int) (Part, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	offset = min(max(offset, 0), len(a.bytes))
	end := min(len(a.bytes), offset+limit)
	return Part{Head: a.head, Bytes: a.bytes[offset:end:end], Done: a.done && end == len(a.bytes)}, a.changed
}
