// Package setting loads and validates the settings of one process. A settings
// file is JSON with comments and trailing commas; field names are in kebab case.
package setting

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/tailscale/hujson"

	"mulberrydyke/plan"
)

// Host holds the settings of one entry host.
type Host struct {
	// ID is the host's ID in the platform's list of hosts.
	ID plan.HostID `json:"id"`
	// Domain is the host's failure domain.
	Domain plan.DomainID `json:"domain"`
	// Region is the host's region.
	Region plan.RegionID `json:"region"`
	// Listen holds the addresses that the host listens on.
	Listen Listen `json:"listen"`
	// Platform holds the addresses of the configuration service. They are tried
	// in order.
	Platform []string `json:"platform"`
	// Peers are the addresses of other hosts' peer listeners. The host contacts
	// them at startup while the platform provides no list of hosts.
	Peers []string `json:"peers,omitempty"`
	// PeerKey is the shared secret with which hosts authenticate each other. It
	// has at least 16 bytes.
	PeerKey string `json:"peer-key"`
	// TLS holds the certificate of the listeners for callers and operators. If
	// it is nil, both listeners use plain HTTP.
	TLS *TLS `json:"tls,omitempty"`
	// Bounds limits the resources and time that requests may use.
	Bounds Bounds `json:"bounds"`
}

// Listen holds the addresses of the listeners, as IP addresses with ports.
type Listen struct {
	Callers   string `json:"callers"`
	Operators string `json:"operators"`
	Peers     string `json:"peers"`
}

// TLS holds the names of the certificate and key files, in PEM format.
type TLS struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
}

// Bounds holds the limits for requests, tickets and shutdown.
type Bounds struct {
	// MaxBodyBytes is the maximum size of a request body. The default is 8 MiB,
	// the maximum 12 MiB.
	MaxBodyBytes int64 `json:"body-bytes"`
	// MaxAnswerBytes is the maximum size of an answer. The default is 8 MiB, the
	// maximum 12 MiB.
	MaxAnswerBytes int64 `json:"answer-bytes"`
	// BodyTimeout is the maximum time for a caller to send a request body. The
	// default is 30 seconds.
	BodyTimeout plan.Duration `json:"body-time"`
	// StreamIdleTimeout is the maximum time without progress on a stream from
	// an upstream, and for one write to a caller. The default is 10 seconds.
	StreamIdleTimeout plan.Duration `json:"silence"`
	// DrainTimeout is how long a planned stop waits for requests in progress.
	// The default is 10 minutes. It must be shorter than the time after which
	// the platform kills the process.
	DrainTimeout plan.Duration `json:"stop-time"`
	// TicketLifetime is how long a ticket is valid. The default is 10 minutes.
	TicketLifetime plan.Duration `json:"ticket-life"`
	// MaxTicketBytes limits the memory for the stored answers of tickets. The
	// default is 32 MiB.
	MaxTicketBytes int64 `json:"ticket-bytes"`
	// RetryRatio is the maximum ratio of retries to first attempts. The default
	// is 0.1.
	RetryRatio float64 `json:"retry-part"`
	// MaxConnections is the maximum number of open caller connections. The
	// default is 4096.
	MaxConnections int `json:"connections"`
	// MemoryBytes is the memory of the machine. The memory for the heads and bodies of callers'
	// requests, and the connections that may be open, are a part of it. The default is 512 MiB.
	MemoryBytes int64 `json:"memory-bytes"`
}

// DefaultBounds returns the limits that apply if the settings do not set them.
func DefaultBounds() Bounds {
	return Bounds{
		MaxBodyBytes:      8 << 20,
		MaxAnswerBytes:    8 << 20,
		BodyTimeout:       plan.Duration(30 * time.Second),
		StreamIdleTimeout: plan.Duration(10 * time.Second),
		DrainTimeout:      plan.Duration(10 * time.Minute),
		TicketLifetime:    plan.Duration(10 * time.Minute),
		MaxTicketBytes:    32 << 20,
		RetryRatio:        0.1,
		MaxConnections:    4096,
		MemoryBytes:       512 << 20,
	}
}

// Error reports invalid settings.
type Error struct {
	File  string
	Line  int
	Field string
	// Reason describes the problem or the values that are accepted.
	Reason string
}

func (e *Error) Error() string {
	if e.File == "" {
		return fmt.Sprintf("%s: %s", e.Field, e.Reason)
	}
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Field, e.Reason)
}

// Load reads and validates a settings file. It returns an Error if the file
// cannot be read or is invalid.
func Load(file string) (Host, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return Host{}, &Error{File: file, Line: 1, Field: "file", Reason: err.Error()}
	}
	return Parse(file, raw)
}

// Parse decodes and validates settings. The file name is used in errors only.
func Parse(file string, raw []byte) (Host, error) {
	standardized, err := hujson.Standardize(bytes.Clone(raw))
	if err != nil {
		return Host{}, &Error{File: file, Line: 1, Field: "syntax", Reason: err.Error()}
	}
	h := Host{Bounds: DefaultBounds()}
	decoder := json.NewDecoder(bytes.NewReader(standardized))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&h); err != nil {
		return Host{}, decodeError(file, standardized, decoder.InputOffset(), err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return Host{}, &Error{File: file, Line: lineAtOffset(standardized, decoder.InputOffset()), Field: "syntax", Reason: "unexpected data after the settings"}
	}
	return h, h.check(file, standardized)
}

// decodeError converts an error of the JSON decoder to an Error with the line and
// the name of the field.
func decodeError(file string, raw []byte, offset int64, err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return &Error{File: file, Line: lineAtOffset(raw, typeErr.Offset), Field: typeErr.Field, Reason: "want " + typeErr.Type.String()}
	}
	var valueErr *plan.ValueError
	if errors.As(err, &valueErr) {
		line, field := locateValue(raw, valueErr.Value)
		return &Error{File: file, Line: line, Field: field, Reason: "want " + valueErr.Want}
	}
	field := "syntax"
	if _, name, ok := strings.Cut(err.Error(), "unknown field "); ok {
		field = strings.Trim(name, `"`)
		return &Error{File: file, Line: lineOfField(raw, field), Field: field, Reason: "unknown field"}
	}
	return &Error{File: file, Line: lineAtOffset(raw, offset), Field: field, Reason: err.Error()}
}

// locateValue returns the line of the first occurrence of value and the name of
// its field.
func locateValue(raw []byte, value string) (line int, field string) {
	offset := bytes.Index(raw, []byte(`"`+strings.Trim(value, `"`)+`"`))
	if offset < 0 {
		offset = bytes.Index(raw, []byte(value))
	}
	segments := strings.Split(string(raw[:max(offset, 0)]), `"`)
	if len(segments) < 2 {
		return 1, "syntax"
	}
	return lineAtOffset(raw, int64(offset)), segments[len(segments)-2]
}

// minMemoryBytes is the least memory in which a host can hold a request of the longest body.
const minMemoryBytes = 64 << 20

// rule is a requirement that settings must meet.
type rule struct {
	ok     bool
	field  string
	reason string
}

func (h *Host) check(file string, raw []byte) error {
	const maxBytes = 12 << 20
	bounds := h.Bounds
	rules := []rule{
		{h.ID != "", "id", "want the host's ID"},
		{h.Domain != "", "domain", "want the name of a failure domain"},
		{h.Region != "", "region", "want the name of a region"},
		{isAddrPort(h.Listen.Callers), "callers", "want an IP address with a port"},
		{isAddrPort(h.Listen.Operators), "operators", "want an IP address with a port"},
		{isAddrPort(h.Listen.Peers), "listen", "want an IP address with a port for peers"},
		{len(h.Platform) > 0, "platform", "want at least one address"},
		{areAddrPorts(h.Platform), "platform", "want IP addresses with ports"},
		{areAddrPorts(h.Peers), "peers", "want IP addresses with ports"},
		{len(h.PeerKey) >= 16, "peer-key", "want at least 16 bytes"},
		{h.TLS == nil || (h.TLS.Certificate != "" && h.TLS.Key != ""), "tls", "want both a certificate and a key"},
		{bounds.MaxBodyBytes > 0 && bounds.MaxBodyBytes <= maxBytes, "body-bytes", "want 1 to 12582912"},
		{bounds.MaxAnswerBytes > 0 && bounds.MaxAnswerBytes <= maxBytes, "answer-bytes", "want 1 to 12582912"},
		{bounds.BodyTimeout > 0, "body-time", "want a duration above 0"},
		{bounds.StreamIdleTimeout > 0, "silence", "want a duration above 0"},
		{bounds.DrainTimeout > 0, "stop-time", "want a duration above 0"},
		{bounds.TicketLifetime > 0, "ticket-life", "want a duration above 0"},
		{bounds.MaxTicketBytes > 0, "ticket-bytes", "want a number above 0"},
		{bounds.RetryRatio >= 0 && bounds.RetryRatio <= 1, "retry-part", "want 0 to 1"},
		{bounds.MaxConnections > 0, "connections", "want a number above 0"},
		{bounds.MemoryBytes >= minMemoryBytes, "memory-bytes", "want at least 67108864"},
	}
	for _, r := range rules {
		if !r.ok {
			return &Error{File: file, Line: lineOfField(raw, r.field), Field: r.field, Reason: r.reason}
		}
	}
	return nil
}

// isAddrPort reports whether text is an IP address with a port. Port 0 is
// accepted: a listener then gets a free port.
func isAddrPort(text string) bool {
	a, err := netip.ParseAddrPort(text)
	return err == nil && a.IsValid()
}

func areAddrPorts(texts []string) bool {
	for _, t := range texts {
		if !isAddrPort(t) {
			return false
		}
	}
	return true
}

// lineOfField returns the 1-based line on which the quoted field name first
// occurs, or 1 if it does not occur.
func lineOfField(raw []byte, field string) int {
	return lineAtOffset(raw, int64(bytes.Index(raw, []byte(`"`+field+`"`))))
}

// lineAtOffset returns the 1-based number of the line that contains offset.
func lineAtOffset(raw []byte, offset int64) int {
	end := min(max(offset, 0), int64(len(raw)))
	return 1 + bytes.Count(raw[:end], []byte("\n"))
}
