package gateway

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"sync/atomic"
)

// maxEventBytes limits the size of one event of a stream.
const maxEventBytes = 1 << 20

// eventReader splits a text/event-stream into events.
type eventReader struct {
	reader *bufio.Reader
	// buf holds the event that is being read, including its closing empty line.
	buf []byte
	// use counts the bytes of buf.
	use bufferUse
}

// newEventReader returns a reader that counts the event that it buffers in total. The
// returned function ends that count.
func newEventReader(r io.Reader, total *atomic.Int64) (*eventReader, func()) {
	e := &eventReader{reader: bufio.NewReaderSize(r, 2<<10), use: bufferUse{total: total}}
	return e, e.use.release
}

// event is one complete event as the upstream sent it.
type event struct {
	// raw is valid until the next event is read.
	raw []byte
	// number is the event ID as an integer. It is valid if hasNumber is set.
	number    int64
	hasNumber bool
	// id is the event ID as text, or "".
	id string
}

// next returns the next complete event. It returns io.EOF if the stream ends
// between events, and io.ErrUnexpectedEOF if it ends within one.
func (r *eventReader) next() (event, error) {
	r.use.release()
	r.buf = r.buf[:0]
	if cap(r.buf) > maxFreeBytes {
		r.buf = nil
	}
	for {
		line, err := r.reader.ReadSlice('\n')
		if tooLarge := r.use.take(len(line)); tooLarge != nil {
			return event{}, tooLarge
		}
		r.buf = append(r.buf, line...)
		switch {
		case err == bufio.ErrBufferFull:
			if len(r.buf) > maxEventBytes {
				return event{}, bufio.ErrTooLong
			}
			continue
		case err == io.EOF && len(bytes.TrimSpace(r.buf)) > 0:
			return event{}, io.ErrUnexpectedEOF
		case err != nil:
			return event{}, err
		}
		if len(r.buf) > maxEventBytes {
			return event{}, bufio.ErrTooLong
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 && len(bytes.TrimSpace(r.buf)) > 0 && isWholeLine(r.buf, line) {
			return r.parse(), nil
		}
	}
}

// isWholeLine reports whether line, the end of buf, is an entire line and not the
// last fragment of a longer one.
func isWholeLine(buf, line []byte) bool {
	start := len(buf) - len(line)
	return start == 0 || buf[start-1] == '\n'
}

// parse extracts the event ID from the buffered event.
func (r *eventReader) parse() event {
	e := event{raw: r.buf}
	for line := range bytes.Lines(r.buf) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		e.id = string(bytes.TrimSpace(value))
		n, err := strconv.ParseInt(e.id, 10, 64)
		e.number, e.hasNumber = n, err == nil
	}
	return e
}
