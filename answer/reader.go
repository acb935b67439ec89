package answer

import (
	"io"
	"sync"
)

// Reader reads from a connection to a server, and fails where the head of a response is malformed. What
// it returns of such a head has no end, so that no parser accepts it.
//
// Expect has to be called before each further request is sent.
type Reader struct {
	source io.Reader
	// mu guards the fields below. A client of net/http reads and sends in different goroutines.
	mu      sync.Mutex
	checker Checker
	// err is set once a head was malformed. The connection is of no more use then.
	err error
}

// NewReader returns a reader of a new connection, which expects a response.
func NewReader(source io.Reader) *Reader { return &Reader{source: source} }

// Read implements io.Reader. It fails with a *HeadError where a head is malformed.
func (r *Reader) Read(p []byte) (int, error) {
	if err := r.Err(); err != nil {
		return 0, err
	}
	n, err := r.source.Read(p)
	r.mu.Lock()
	defer r.mu.Unlock()
	checked, malformed := r.checker.Check(p[:n])
	if malformed != nil {
		r.err = malformed
		return checked, malformed
	}
	return n, err
}

// Expect makes the reader expect the head of another response. It checks the bytes of it that a buffer
// has already read.
func (r *Reader) Expect(buffered []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err != nil {
		return r.err
	}
	r.checker = Checker{line: r.checker.line[:0]}
	_, r.err = r.checker.Check(buffered)
	return r.err
}

// Err returns the *HeadError with which reading has failed, or nil.
func (r *Reader) Err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err
}
