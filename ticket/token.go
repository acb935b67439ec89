// Package ticket keeps requests that must not run twice from doing so. A
// ticket names its home, the only host that may ever dispatch it, and a backup,
// which has to agree before the home dispatches. Home and Backup are the two
// decision cores; they hold no clock and do no I/O. docs/AT-MOST-ONCE.md gives
// the rules and the guarantee.
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

// Token is a ticket as callers hold it.
type Token string

// tokenMost bounds a token's length in bytes.
const tokenMost = 1024

// Sequence numbers the tickets of one home.
type Sequence uint64

// Name is what a token says.
type Name struct {
	Home member.HostIncarnation `json:"home"`
	// Backup has an empty host where the home found no other live host.
	Backup   member.HostIncarnation `json:"backup"`
	Sequence Sequence               `json:"sequence"`
	// Code authenticates the other fields and the account under a key that
	// only the home holds.
	Code []byte `json:"code"`
}

// FormatError reports a text that is no token.
type FormatError struct {
	Reason string
}

func (e *FormatError) Error() string { return "malformed ticket: " + e.Reason }

// Parse reads a token. It doesn't check the code, which only the home can.
func Parse(t Token) (Name, error) {
	if len(t) > tokenMost {
		return Name{}, &FormatError{Reason: "too long"}
	}
	raw, err := base64.RawURLEncoding.DecodeString(string(t))
	if err != nil {
		return Name{}, &FormatError{Reason: "not base64"}
	}
	var n Name
	if err := json.Unmarshal(raw, &n); err != nil {
		return Name{}, &FormatError{Reason: "not a ticket"}
	}
	if n.Home.Host == "" || n.Home.Incarnation == 0 || len(n.Code) != sha256.Size {
		return Name{}, &FormatError{Reason: "incomplete"}
	}
	if n.token() != t {
		return Name{}, &FormatError{Reason: "not in canonical form"}
	}
	return n, nil
}

func (n Name) token() Token {
	raw, err := json.Marshal(n)
	if err != nil {
		panic(fmt.Sprintf("ticket name: %s", err))
	}
	return Token(base64.RawURLEncoding.EncodeToString(raw))
}

func (n Name) code(key []byte, account plan.AccountID) []byte {
	n.Code = nil
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(n.token()))
	mac.Write([]byte{0})
	mac.Write([]byte(account))
	return mac.Sum(nil)
}
