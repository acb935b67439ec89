// Package setting reads and checks the settings of one process: JSON with
// comments, whose fields are in kebab case.
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

// Host is the settings of one entry host.
type Host struct {
	// ID is the host's name in the platform's list.
	ID plan.HostID `json:"id"`
	// Domain is the host's failure domain.
	Domain plan.DomainID `json:"domain"`
	// Region is the host's region.
	Region plan.RegionID `json:"region"`
	// Listen gives the host's own addresses.
	Listen Listen `json:"listen"`
	// Platform gives the addresses of the configuration service, tried in order.
	Platform []string `json:"platform"`
	// Peers are addresses of other hosts' peer listeners, asked at the start
	// while the platform gives no list of hosts.
	Peers []string `json:"peers,omitempty"`
	// PeerKey authenticates hosts to each other. At least 16 bytes.
	PeerKey string `json:"peer-key"`
	// TLS names the certificate for callers and operators. Without it both
	// listeners speak plain HTTP.
	TLS *TLS `json:"tls,omitempty"`
	// Bounds limits what requests may cost.
	Bounds Bounds `json:"bounds"`
}

// Listen gives addresses as IP numbers with ports.
type Listen struct {
	Callers   string `json:"callers"`
	Operators string `json:"operators"`
	Peers     string `json:"peers"`
}

// TLS names files in PEM form.
type TLS struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
}

// Bounds limits what one request or one stop may cost.
type Bounds struct {
	// BodyBytes is the largest request body. Default 8 MiB, at most 12 MiB.
	MaxBodyBytes int64 `json:"body-bytes"`
	// AnswerBytes is the largest answer. Default 8 MiB, at most 12 MiB.
	MaxAnswerBytes int64 `json:"answer-bytes"`
	// BodyTime is how long a caller may take to send a body. Default 30s.
	BodyTimeout plan.Duration `json:"body-time"`
	// Silence is the longest gap without progress on an upstream's stream.
	// Default 10s.
	StreamIdleTimeout plan.Duration `json:"silence"`
	// StopTime is how long a planned stop waits for requests in progress.
	// Default 10m. It must lie below the platform's own kill bound.
	DrainTimeout plan.Duration `json:"stop-time"`
	// TicketLife is how long a ticket may be used. Default 10m.
	TicketLifetime plan.Duration `json:"ticket-life"`
	// TicketBytes bounds the memory of kept answers. Default 32 MiB.
	MaxTicketBytes int64 `json:"ticket-bytes"`
	// RetryPart is the part of fresh requests that retries may add. Default 0.1.
	RetryRatio float64 `json:"retry-part"`
	// Connections is the most that callers may hold open. Default 4096.
	MaxConnections int `json:"connections"`
}

// DefaultBounds returns the bounds that apply where settings give none.
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
	}
}

// Error reports settings that are not valid.
type Error struct {
	File  string
	Line  int
	Field string
	// Valid says what is wrong or what would be accepted.
	Reason string
}

func (e *Error) Error() string {
	if e.File == "" {
		return fmt.Sprintf("%s: %s", e.Field, e.Reason)
	}
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Field, e.Reason)
}

// Load reads and checks a settings file. It fails with an Error.
func Load(file string) (Host, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return Host{}, &Error{File: file, Line: 1, Field: "file", Reason: err.Error()}
	}
	return Parse(file, raw)
}

// Parse reads and checks settings. The name file stands in errors.
func Parse(file string, raw []byte) (Host, error) {
	plain, err := hujson.Standardize(bytes.Clone(raw))
	if err != nil {
		return Host{}, &Error{File: file, Line: 1, Field: "syntax", Reason: err.Error()}
	}
	h := Host{Bounds: DefaultBounds()}
	d := json.NewDecoder(bytes.NewReader(plain))
	d.DisallowUnknownFields()
	if err := d.Decode(&h); err != nil {
		return Host{}, decodeError(file, plain, d.InputOffset(), err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return Host{}, &Error{File: file, Line: lineAt(plain, d.InputOffset()), Field: "syntax", Reason: "nothing may follow the settings"}
	}
	return h, h.check(file, plain)
}

func decodeError(file string, raw []byte, offset int64, err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return &Error{File: file, Line: lineAt(raw, wrongType.Offset), Field: wrongType.Field, Reason: "want " + wrongType.Type.String()}
	}
	var value *plan.ValueError
	if errors.As(err, &value) {
		line, field := fieldOf(raw, value.Value)
		return &Error{File: file, Line: line, Field: field, Reason: "want " + value.Want}
	}
	field := "syntax"
	if _, name, ok := strings.Cut(err.Error(), "unknown field "); ok {
		field = strings.Trim(name, `"`)
		return &Error{File: file, Line: lineOf(raw, field), Field: field, Reason: "no such field"}
	}
	return &Error{File: file, Line: lineAt(raw, offset), Field: field, Reason: err.Error()}
}

// fieldOf finds the line and the name of the field that has a value.
func fieldOf(raw []byte, value string) (line int, field string) {
	at := bytes.Index(raw, []byte(`"`+strings.Trim(value, `"`)+`"`))
	if at < 0 {
		at = bytes.Index(raw, []byte(value))
	}
	names := strings.Split(string(raw[:max(at, 0)]), `"`)
	if len(names) < 2 {
		return 1, "syntax"
	}
	return lineAt(raw, int64(at)), names[len(names)-2]
}

// fault is one rule that settings must meet.
type fault struct {
	ok    bool
	field string
	valid string
}

func (h *Host) check(file string, raw []byte) error {
	const most = 12 << 20
	b := h.Bounds
	faults := []fault{
		{h.ID != "", "id", "want the host's name"},
		{h.Domain != "", "domain", "want a failure domain"},
		{h.Region != "", "region", "want a region"},
		{isAddress(h.Listen.Callers), "callers", "want an IP number with a port"},
		{isAddress(h.Listen.Operators), "operators", "want an IP number with a port"},
		{isAddress(h.Listen.Peers), "listen", "want an IP number with a port for peers"},
		{len(h.Platform) > 0, "platform", "want at least one address"},
		{areAddresses(h.Platform), "platform", "want IP numbers with ports"},
		{areAddresses(h.Peers), "peers", "want IP numbers with ports"},
		{len(h.PeerKey) >= 16, "peer-key", "want at least 16 bytes"},
		{h.TLS == nil || (h.TLS.Certificate != "" && h.TLS.Key != ""), "tls", "want a certificate and a key"},
		{b.MaxBodyBytes > 0 && b.MaxBodyBytes <= most, "body-bytes", "want 1 to 12582912"},
		{b.MaxAnswerBytes > 0 && b.MaxAnswerBytes <= most, "answer-bytes", "want 1 to 12582912"},
		{b.BodyTimeout > 0, "body-time", "want a span above 0"},
		{b.StreamIdleTimeout > 0, "silence", "want a span above 0"},
		{b.DrainTimeout > 0, "stop-time", "want a span above 0"},
		{b.TicketLifetime > 0, "ticket-life", "want a span above 0"},
		{b.MaxTicketBytes > 0, "ticket-bytes", "want a number above 0"},
		{b.RetryRatio >= 0 && b.RetryRatio <= 1, "retry-part", "want 0 to 1"},
		{b.MaxConnections > 0, "connections", "want a number above 0"},
	}
	for _, f := range faults {
		if !f.ok {
			return &Error{File: file, Line: lineOf(raw, f.field), Field: f.field, Reason: f.valid}
		}
	}
	return nil
}

func isAddress(text string) bool {
	a, err := netip.ParseAddrPort(text)
	return err == nil && a.IsValid()
}

func areAddresses(texts []string) bool {
	for _, t := range texts {
		if !isAddress(t) {
			return false
		}
	}
	return true
}

func lineOf(raw []byte, field string) int {
	return lineAt(raw, int64(bytes.Index(raw, []byte(`"`+field+`"`))))
}

func lineAt(raw []byte, offset int64) int {
	end := min(max(offset, 0), int64(len(raw)))
	return 1 + bytes.Count(raw[:end], []byte("\n"))
}
