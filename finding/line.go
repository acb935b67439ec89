package finding

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

// LineOf returns the line at which the decoding of a JSON text failed, as a prefix for the message of
// the error: "line 3: ". It is line 1 if the error names no place.
func LineOf(raw []byte, err error) string {
	var syntax *json.SyntaxError
	var wrongType *json.UnmarshalTypeError
	offset := int64(0)
	switch {
	case errors.As(err, &syntax):
		offset = syntax.Offset
	case errors.As(err, &wrongType):
		offset = wrongType.Offset
	}
	return fmt.Sprintf("line %d: ", 1+bytes.Count(raw[:min(max(0, offset), int64(len(raw)))], []byte("\n")))
}
