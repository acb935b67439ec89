package answer

import "bytes"

// lines splits bytes into lines as they arrive.
type lines struct {
	// partial is the beginning of a line whose end has not arrived.
	partial []byte
}

// atStart reports whether the next byte is the first of a line.
func (l *lines) atStart() bool { return len(l.partial) == 0 }

// next returns the line that ends first in p, without its line ending, and how many bytes of p belong to
// it. If no line ends there, it keeps p for the next call and returns false. The line is valid until then.
func (l *lines) next(p []byte) (line []byte, n int, whole bool) {
	end := bytes.IndexByte(p, '\n')
	if end < 0 {
		l.partial = append(l.partial, p...)
		return nil, len(p), false
	}
	line = p[:end]
	if len(l.partial) > 0 {
		line = append(l.partial, line...)
		l.partial = line[:0]
	}
	return bytes.TrimSuffix(line, []byte("\r")), end + 1, true
}
