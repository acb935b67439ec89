package answer

import (
	"bytes"
	"net/http"
	"strconv"
)

// Fields that say where the body of a response ends.
const (
	lengthField = "Content-Length"
	codingField = "Transfer-Encoding"
)

// update takes a field into account, whose value has no blanks around it. It returns why the field is
// refused, or "".
func (h *head) update(name, value []byte) Reason {
	switch {
	case isNamed(name, lengthField):
		return h.updateLength(value)
	case isNamed(name, codingField):
		return h.updateCoding(value)
	}
	return ""
}

// isNamed reports whether a field has a name, in small or capital letters.
func isNamed(field []byte, name string) bool {
	return len(field) == len(name) && bytes.EqualFold(field, []byte(name))
}

// updateLength takes a Content-Length into account. Two are refused even where they agree, as a list of
// them is.
func (h *head) updateLength(value []byte) Reason {
	length, err := strconv.ParseInt(string(value), 10, 64)
	switch {
	case h.hasLength:
		return RepeatedField
	case err != nil || !isDigit(value[0]):
		return BadLength
	}
	h.hasLength, h.length = true, length
	return ""
}

// updateCoding takes a Transfer-Encoding into account. No request asks for another than "chunked".
func (h *head) updateCoding(value []byte) Reason {
	switch {
	case h.hasCoding:
		return RepeatedField
	case !bytes.EqualFold(value, []byte("chunked")) || h.minor == '0':
		return BadCoding
	}
	h.hasCoding = true
	return ""
}

// check returns why a head as a whole is refused, or "".
func (h *head) check() Reason {
	neverHasContent := h.status < http.StatusOK || h.status == http.StatusNoContent
	switch {
	case h.status == http.StatusSwitchingProtocols:
		return ProtocolSwitch
	case h.hasLength && h.hasCoding:
		return LengthAndCoding
	case neverHasContent && (h.length > 0 || h.hasCoding):
		return UnexpectedContent
	}
	return ""
}
