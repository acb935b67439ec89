// Package call holds the content of a caller's request and of an upstream's
// response, independent of the headers that carry it.
package call

import (
	"math"
	"net/http"
	"time"

	"mulberrydyke/drain"
	"mulberrydyke/plan"
	"mulberrydyke/ratelimit"
)

// RequestID is the identifier that a caller gives to a request. If the caller
// sends the request again, it uses a new one.
type RequestID string

// PromptPart is one part of a prompt. An engine can reuse its prefill of the
// parts that prompts have in common at their beginning.
type PromptPart struct {
	ID     string
	Tokens int
}

// MaxPromptParts bounds the parts of a prompt that are told apart. Each takes many times the memory
// that it takes in the head of a request.
const MaxPromptParts = 64

// Prompt describes the prompt of a request and the expected output.
type Prompt struct {
	// Parts are in the order of the prompt. The last one belongs only to the
	// request or its session. There are at most MaxPromptParts, the last of which then stands for
	// all that follow as well.
	Parts []PromptPart
	// Tokens is the length of the whole prompt.
	Tokens int
	// MaxOutputTokens is the maximum length of the output.
	MaxOutputTokens int
	// OutputTokensHint is the caller's estimate of the length of the output. Zero
	// means that there is none.
	OutputTokensHint int
}

// AddPart adds a part at the end of the prompt. Where there are as many as may be, it becomes one with
// the last.
func (p *Prompt) AddPart(x PromptPart) {
	if len(p.Parts) < MaxPromptParts {
		p.Parts = append(p.Parts, x)
		return
	}
	last := &p.Parts[MaxPromptParts-1]
	last.ID = x.ID
	last.Tokens += min(x.Tokens, math.MaxInt-last.Tokens)
}

// SharedPrefixID returns the ID of the last part that other requests may share,
// or "".
func (p *Prompt) SharedPrefixID() string {
	if len(p.Parts) < 2 {
		return ""
	}
	return p.Parts[len(p.Parts)-2].ID
}

// SharedPartIDs returns the IDs of the parts that other requests may share: all but
// the last.
func (p *Prompt) SharedPartIDs() []string {
	var out []string
	for i := range max(0, len(p.Parts)-1) {
		out = append(out, p.Parts[i].ID)
	}
	return out
}

// UnsharedTokens returns the number of tokens of the last part, or of the whole
// prompt if it has no parts.
func (p *Prompt) UnsharedTokens() int {
	if len(p.Parts) == 0 {
		return p.Tokens
	}
	return p.Parts[len(p.Parts)-1].Tokens
}

// Request is a caller's request.
type Request struct {
	ID     RequestID
	Method string
	Host   string
	// Target is the request target as the caller sent it: path and query.
	Target string
	// Path is the target without its query.
	Path string
	// ReceivedAt is when the header of the request had been read.
	ReceivedAt time.Time
	// CallerTimeout is how long the caller will wait, counted from ReceivedAt.
	// Zero means that the caller gave no limit.
	CallerTimeout time.Duration
	// APIKey is the caller's API key, or "".
	APIKey string
	Model  string
	Prompt Prompt
	// LastEventID is the ID of the last event of a stream that the caller has
	// received, or "".
	LastEventID string
	// Header holds the header fields that are forwarded unchanged.
	Header http.Header
	Body   []byte
}

// ForwardOptions holds what is added to a request when it is sent to an upstream.
type ForwardOptions struct {
	// Upstream is the only upstream that may run the request; any other refuses
	// it.
	Upstream plan.UpstreamID
	// Account is the account that the caller's API key belongs to, or "".
	Account plan.AccountID
	// TimeLimit is how long the upstream may work on the request. Zero sets no
	// limit.
	TimeLimit time.Duration
	// Urgency orders requests at an engine, from 0 (most urgent) to 9. A negative
	// value omits it.
	Urgency int
	// LastEventID is the event after which a stream continues, or "".
	LastEventID string
}

// ResponseHead is the content of the status line and header of an upstream's
// response.
type ResponseHead struct {
	Status int
	// Malformed is an *answer.MalformedError if the response does not say plainly whose it is. The other
	// fields have no meaning then.
	Malformed error
	// ID is the request that the response belongs to, or "" if it names none.
	ID RequestID
	// Signed is set if the response carries the upstream's signature.
	Signed bool
	// NotExecuted is set if the upstream did not run the request and never will.
	NotExecuted bool
	// Instance is the upstream that sent the response, or "" if it names none.
	Instance plan.UpstreamID
	// Misdirected is set if another upstream now has the address.
	Misdirected bool
	// Close is set if the connection can't be reused.
	Close bool
	// KeepAliveTimeout is how long the upstream keeps the connection open while it
	// is idle. Zero means that the upstream does not say.
	KeepAliveTimeout time.Duration
	// Drain is what the upstream says of whether it is draining.
	Drain drain.Announcement
	// RateLimit is what the upstream says of the rate at which it takes requests.
	RateLimit ratelimit.Announcement
	// Pause is what the upstream says of when it takes requests again, if it has turned this
	// one away.
	Pause ratelimit.PauseAnnouncement
}

// Dialect translates between HTTP messages and the types of this package.
type Dialect interface {
	// ParseRequest reads the header of a caller's request. It fails if a header
	// field that it needs is missing or malformed.
	ParseRequest(now time.Time, r *http.Request) (*Request, error)
	// UpstreamHeader returns the header to send to an upstream.
	UpstreamHeader(r *Request, o ForwardOptions) http.Header
	// ParseResponse reads the header of an upstream's response.
	ParseResponse(r *http.Response) ResponseHead
	// StripResponseHeader removes the header fields that apply only to the
	// connection to the upstream. If keepSignature is false it also removes the
	// signature.
	StripResponseHeader(h http.Header, keepSignature bool)
}
