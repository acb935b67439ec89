// Package call holds what the product reads from a caller's request and from an
// upstream's answer to it, whatever dialect they came in.
package call

import (
	"net/http"
	"time"

	"mulberrydyke/plan"
)

// ID is a caller's own name for one try of a request. Each try has another.
type RequestID string

// Part is one part of a prompt. Prompts that begin with the same parts share
// the work of reading them.
type PromptPart struct {
	ID     string
	Tokens int
}

// Prompt is what a request says of its prompt and its answer.
type Prompt struct {
	// Parts are in the order of the prompt. The last belongs to the request or
	// its session.
	Parts []PromptPart
	// Tokens is the length of the whole prompt.
	Tokens int
	// MaxOutput is the most tokens that the answer may have.
	MaxOutputTokens int
	// OutputHint is the caller's estimate of the answer's length. Zero means
	// none.
	OutputTokensHint int
}

// Subject returns the last part that other requests share, or "".
func (p *Prompt) SharedPrefixID() string {
	if len(p.Parts) < 2 {
		return ""
	}
	return p.Parts[len(p.Parts)-2].ID
}

// Own returns the tokens of the last part, or of the whole prompt where it has
// no parts.
func (p *Prompt) UnsharedTokens() int {
	if len(p.Parts) == 0 {
		return p.Tokens
	}
	return p.Parts[len(p.Parts)-1].Tokens
}

// Request is one request of a caller.
type Request struct {
	ID     RequestID
	Method string
	Host   string
	// Target is the request target as the caller wrote it: path and query.
	Target string
	// Path is the target without its query.
	Path string
	// Arrived is when the head of the request had been read.
	ReceivedAt time.Time
	// Patience is how long the caller will wait, from Arrived. Zero means that
	// the caller does not say.
	CallerTimeout time.Duration
	// Key is the caller's API key, or "".
	APIKey string
	Model  string
	Prompt Prompt
	// LastEvent is the last event that the caller has of a stream, or "".
	LastEventID string
	// Header holds what is passed on unchanged.
	Header http.Header
	Body   []byte
}

// Offer is what the product adds when it sends a request to an upstream.
type ForwardOptions struct {
	// Upstream must run the request; any other refuses it.
	Upstream plan.UpstreamID
	// Account is the holder of the caller's key, or "".
	Account plan.AccountID
	// Left is how long the upstream may work. Zero sets no bound.
	TimeLimit time.Duration
	// Urgency orders requests at an engine, from 0, the most urgent, to 9.
	// Negative leaves it out.
	Urgency int
	// LastEvent is where a stream goes on, or "".
	LastEventID string
}

// Reply is what an upstream says of one answer in its head.
type ResponseHead struct {
	Status int
	// ID is the request that the answer belongs to, or "" where it says none.
	ID RequestID
	// Sealed says that the answer bears the upstream's signature.
	Signed bool
	// NotRun says that the upstream did not run the request and never will.
	NotExecuted bool
	// Misdirected says that another upstream has the address.
	Misdirected bool
	// Closing says that the connection can't be used again.
	Close bool
	// IdleLife is how long the upstream keeps the connection open. Zero means
	// that it does not say.
	KeepAliveTimeout time.Duration
}

// Dialect translates between HTTP messages and the types of this package.
type Dialect interface {
	// Request reads the head of a caller's request. It fails where a header
	// that decides is malformed.
	ParseRequest(now time.Time, r *http.Request) (*Request, error)
	// Offer returns the header to send to an upstream.
	UpstreamHeader(r *Request, o ForwardOptions) http.Header
	// Reply reads the head of an upstream's answer.
	ParseResponse(r *http.Response) ResponseHead
	// Strip removes from an answer's header what concerns only the connection
	// to the upstream. Without seal it removes the signature as well.
	StripResponseHeader(h http.Header, seal bool)
}
