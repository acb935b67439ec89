// Package ticket ensures at-most-once execution of requests that must not run
// twice. A ticket names its home, the only host that may ever dispatch it, and
// a backup host, which must acknowledge the home's intent before the home
// dispatches. When a host stops as planned, a successor takes over its tickets.
// Home, Backup and Successor implement these roles as pure state machines: they
// read no clock and do no I/O. The protocol and its guarantee are specified in
// docs/AT-MOST-ONCE.md.
package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"fmt"

	"mulberrydyke/member"
	"mulberrydyke/plan"
)

// Token is the opaque form of a ticket that callers receive and send: its
// claims as JSON in URL-safe base64.
type Token string

// maxTokenBytes limits the length of a token that Parse accepts.
const maxTokenBytes = 1024

// Sequence numbers the tickets of one home.
type Sequence uint64

// Claims is the decoded content of a token.
type Claims struct {
	Home member.HostIncarnation `json:"home"`
	// Backup has an empty host if the home found no other live host.
	Backup   member.HostIncarnation `json:"backup"`
	Sequence Sequence               `json:"sequence"`
	// Code authenticates the other fields and the account under a key that
	// only the home holds.
	Code []byte `json:"code"`
}

// FormatError is returned by Parse for a malformed token.
type FormatError struct {
	Reason string
}

// Error implements error.
func (e *FormatError) Error() string { return "malformed ticket: " + e.Reason }

// Parse decodes a token. It does not verify the authentication code, since only
// the home has the key.
func Parse(t Token) (Claims, error) {
	if len(t) > maxTokenBytes {
		return Claims{}, &FormatError{Reason: "too long"}
	}
	raw, err := base64.RawURLEncoding.DecodeString(string(t))
	if err != nil {
		return Claims{}, &FormatError{Reason: "not base64"}
	}
	var claims Claims
	if err := json.Unmarshal(raw, &claims); err != nil {
		return Claims{}, &FormatError{Reason: "not a ticket"}
	}
	if claims.Home.Host == "" || claims.Home.Incarnation == 0 || len(claims.Code) != sha256.Size {
		return Claims{}, &FormatError{Reason: "incomplete"}
	}
	if claims.encode() != t {
		return Claims{}, &FormatError{Reason: "not in canonical form"}
	}
	return claims, nil
}

// encode returns the claims as a token.
func (c Claims) encode() Token {
	raw, err := json.Marshal(c)
	if err != nil {
		panic(fmt.Sprintf("encode ticket claims: %s", err))
	}
	return Token(base64.RawURLEncoding.EncodeToString(raw))
}

// authCode returns an HMAC-SHA256 over the claims without their code and the
// account.
func (c Claims) authCode(key []byte, account plan.AccountID) []byte {
	c.Code = nil
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(c.encode()))
	mac.Write([]byte{0})
	mac.Write([]byte(account))
	return mac.Sum(nil)
}
