package gateway

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
)

// eventBytes bounds one event of a stream.
const eventBytes = 1 << 20

// eventReader reads a stream event by event.
type eventReader struct {
	read *bufio.Reader
	// text holds the event that is being read, with its empty last line.
	text []byte
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{read: bufio.NewReaderSize(r, 2<<10)}
}

// event is one whole event as the upstream sent it.
type event struct {
	// text is valid until the next event is read.
	text []byte
	// id is the event's number, where it has one.
	id       int64
	hasID    bool
	idString string
}

// next returns the next whole event. It returns io.EOF only after a whole one.
func (r *eventReader) next() (event, error) {
	r.text = r.text[:0]
	for {
		line, err := r.read.ReadSlice('\n')
		r.text = append(r.text, line...)
		switch {
		case err == bufio.ErrBufferFull:
			if len(r.text) > eventBytes {
				return event{}, bufio.ErrTooLong
			}
			continue
		case err == io.EOF && len(bytes.TrimSpace(r.text)) > 0:
			return event{}, io.ErrUnexpectedEOF
		case err != nil:
			return event{}, err
		}
		if len(r.text) > eventBytes {
			return event{}, bufio.ErrTooLong
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 && len(bytes.TrimSpace(r.text)) > 0 && endsLine(r.text, line) {
			return r.decode(), nil
		}
	}
}

// endsLine says whether line is a line of its own, not the end of a longer one.
func endsLine(text, line []byte) bool {
	before := len(text) - len(line)
	return before == 0 || text[before-1] == '\n'
}

// decode finds the event's number.
func (r *eventReader) decode() event {
	e := event{text: r.text}
	for line := range bytes.Lines(r.text) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		e.idString = string(bytes.TrimSpace(value))
		n, err := strconv.ParseInt(e.idString, 10, 64)
		e.id, e.hasID = n, err == nil
	}
	return e
}
