package link

import (
	"errors"
	"io"
	"math"
)

// maxHeadBytes limits a response header, and the interim responses before it. An
// upstream in trouble may send bytes without end.
const maxHeadBytes = 64 << 10

// ErrHeadTooLarge reports a response header of more than maxHeadBytes.
var ErrHeadTooLarge = errors.New("response header too large")

// limitedReader reads from a connection until a number of bytes has been read.
type limitedReader struct {
	reader io.Reader
	// left is the number of bytes that may still be read.
	left int64
}

// Read implements io.Reader. It fails with ErrHeadTooLarge when nothing is left.
func (r *limitedReader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, ErrHeadTooLarge
	}
	n, err := r.reader.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	return n, err
}

// limit sets how many bytes may be read from now on.
func (r *limitedReader) limit(bytes int64) { r.left = bytes }

// unlimit lifts the limit.
func (r *limitedReader) unlimit() { r.left = math.MaxInt64 }
