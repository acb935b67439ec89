// Package drain keeps which upstreams have said in their responses that they are draining.
// Such an upstream finishes what it runs and takes no new requests, whatever the platform
// lists.
//
// Nothing here has a clock or does I/O: the current time is an argument. How hosts tell each
// other is up to package gossip.
package drain

import (
	"fmt"
	"strings"
)

// Announcement is what the head of one response says of whether its upstream is draining.
type Announcement struct {
	// Draining is set if the upstream says that it is.
	Draining bool
	// Problem tells why the announcement is malformed or doubtful. It is nil otherwise.
	Problem error
}

// Values of a header by which an upstream says that it is draining, or that it is not.
const (
	flagSet   = "1"
	flagUnset = "0"
)

// ParseAnnouncement decodes the values of a header that holds a flag. The upstream is
// draining if any of them is "1". Other values say nothing, so that a malformed one can't
// take an upstream out of use. Problems are of type *FlagError.
func ParseAnnouncement(values []string) Announcement {
	if len(values) == 0 {
		return Announcement{}
	}
	var out Announcement
	text := strings.Join(values, ",")
	fields := strings.Split(text, ",")
	if len(fields) > 1 {
		out.Problem = &FlagError{Text: text, Reason: "several values"}
	}
	for _, field := range fields {
		switch strings.TrimSpace(field) {
		case flagSet:
			out.Draining = true
		case flagUnset:
			out.Problem = &FlagError{Text: text, Reason: "unset, taken for absent"}
		default:
			out.Problem = &FlagError{Text: text, Reason: "not a flag"}
		}
	}
	return out
}

// FlagError reports a malformed or doubtful flag.
type FlagError struct {
	// Text is the flag as it was sent.
	Text   string
	Reason string
}

func (e *FlagError) Error() string { return fmt.Sprintf("draining flag %q: %s", e.Text, e.Reason) }
