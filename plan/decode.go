// Package plan defines the lists that operators and the platform publish:
// plans with their accounts, entitlements, upstreams and hosts. Every list has
// a version and is validated when it is decoded.
package plan

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
)

// ListKind identifies one of the published lists.
type ListKind string

// The kinds of published list. Operators write the first two; the platform
// maintains the others.
const (
	KindPlans        ListKind = "plans"
	KindEntitlements ListKind = "entitlements"
	KindUpstreams    ListKind = "upstreams"
	KindHosts        ListKind = "hosts"
)

// ListKinds returns every kind in the order in which a host reads the lists.
func ListKinds() []ListKind {
	return []ListKind{KindPlans, KindEntitlements, KindUpstreams, KindHosts}
}

// MaxListBytes is the maximum size of one published list. It equals the
// platform's limit for one value.
const MaxListBytes = 1 << 20

// validatable is implemented by every published list.
type validatable interface {
	validate(*validator)
}

// decode unmarshals raw into list and validates it. It rejects unknown fields
// and trailing data.
func decode(kind ListKind, raw []byte, list validatable) error {
	if len(raw) > MaxListBytes {
		return &DecodeError{Kind: kind, Line: 1, Reason: "the list exceeds 1 MiB"}
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(list); err != nil {
		return &DecodeError{Kind: kind, Line: lineNumber(raw, errorOffset(err, decoder)), Reason: err.Error()}
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return &DecodeError{Kind: kind, Line: lineNumber(raw, decoder.InputOffset()), Reason: "unexpected data after the list"}
	}
	var v validator
	list.validate(&v)
	return v.err
}

// errorOffset returns the position in the input at which decoding failed.
func errorOffset(err error, decoder *json.Decoder) int64 {
	var syntaxErr *json.SyntaxError
	if errors.As(err, &syntaxErr) {
		return syntaxErr.Offset
	}
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return typeErr.Offset
	}
	return decoder.InputOffset()
}

// lineNumber returns the 1-based number of the line that contains offset.
func lineNumber(raw []byte, offset int64) int {
	end := min(max(offset, 0), int64(len(raw)))
	return 1 + bytes.Count(raw[:end], []byte("\n"))
}
