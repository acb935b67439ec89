package answer

import (
	"io"
	"sync"
)

// Reader reads responses from a connection, and fails where one is malformed. What it returns of a
// malformed head has no end, so that no parser accepts it.
//
// Expect has to be called before each request is sent.
type Reader struct {
	source io.Reader
	// checksBodies is set if reading fails also behind the end of a response.
	checksBodies bool
	// mu guards the fields below. A client of net/http reads and sends in different goroutines.
	mu      sync.Mutex
	checker Checker
	// err is set once a response was malformed. The connection is of no more use then.
	err error
}

// Option changes a Reader.
type Option func(*Reader)

// WithBodies makes a reader follow each response to its end, and fail if bytes come after it before the
// next one is expected.
func WithBodies() Option { return func(r *Reader) { r.checksBodies = true } }

// NewReader returns a reader of a new connection. By default it checks heads only.
func NewReader(source io.Reader, options ...Option) *Reader {
	r := &Reader{source: source}
	for _, option := range options {
		option(r)
	}
	r.checker.checksBody = r.checksBodies
	return r
}

// Read implements io.Reader. It fails with a *MalformedError where a response is malformed.
func (r *Reader) Read(p []byte) (int, error) {
	if err := r.Err(); err != nil {
		return 0, err
	}
	n, err := r.source.Read(p)
	r.mu.Lock()
	defer r.mu.Unlock()
	checked, malformed := r.checker.Check(p[:n])
	if malformed == nil {
		return n, err
	}
	r.err = malformed
	if checked > 0 {
		return checked, nil // these bytes may be the end of a whole response; the next call fails
	}
	return 0, malformed
}

// Expect makes the reader expect the response to another request, with a method. It checks the bytes of
// it that a buffer has already read.
func (r *Reader) Expect(method string, buffered []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err != nil {
		return r.err
	}
	r.checker = Checker{method: method, checksBody: r.checksBodies}
	_, r.err = r.checker.Check(buffered)
	return r.err
}

// Err returns the *MalformedError with which reading has failed or is about to, or nil.
func (r *Reader) Err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err
}
