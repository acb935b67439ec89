// Package plan holds the lists that operators and the platform publish: the
// customers' plans, what each plan may use, the upstreams and the hosts. Every
// list carries a version and checks itself when it is decoded.
package plan

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
)

// Kind names one of the published lists.
type ListKind string

// The published lists. Operators write the first two.
const (
	KindPlans        ListKind = "plans"
	KindEntitlements ListKind = "entitlements"
	KindUpstreams    ListKind = "upstreams"
	KindHosts        ListKind = "hosts"
)

// Kinds lists every kind in the order in which the product reads them.
func ListKinds() []ListKind {
	return []ListKind{KindPlans, KindEntitlements, KindUpstreams, KindHosts}
}

// MaxListBytes bounds one published list: the platform's own limit of a value.
const MaxListBytes = 1 << 20

// list is any published list.
type list interface {
	check(*check)
}

// decode reads raw into out, refuses unknown fields and trailing bytes, and
// lets the list check itself.
func decode(kind ListKind, raw []byte, out list) error {
	if len(raw) > MaxListBytes {
		return &DecodeError{Kind: kind, Line: 1, Reason: "the list is larger than one megabyte"}
	}
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(out); err != nil {
		return &DecodeError{Kind: kind, Line: lineAt(raw, offsetOf(err, d)), Reason: err.Error()}
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return &DecodeError{Kind: kind, Line: lineAt(raw, d.InputOffset()), Reason: "bytes follow the list"}
	}
	var c check
	out.check(&c)
	return c.err
}

func offsetOf(err error, d *json.Decoder) int64 {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return syntax.Offset
	}
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return wrongType.Offset
	}
	return d.InputOffset()
}

func lineAt(raw []byte, offset int64) int {
	end := min(max(offset, 0), int64(len(raw)))
	return 1 + bytes.Count(raw[:end], []byte("\n"))
}
