// Package job defines a caller's request after it was parsed and validated. Hosts
// forward requests to each other in this form.
package job

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"mulberrydyke/plan"
	"mulberrydyke/pool"
	"mulberrydyke/ticket"
)

const (
	// bytesPerToken is the number of bytes per token that is assumed to estimate
	// the length of a prompt.
	bytesPerToken = 4
	// prefixHashBytes is the length of the prompt prefix whose hash determines
	// which upstream is preferred.
	prefixHashBytes = 1024
	maxNameBytes    = 256
	maxOutputTokens = 1 << 20
)

// FieldError reports an invalid field of a request.
type FieldError struct {
	Field string
	Want  string
}

func (e *FieldError) Error() string { return e.Field + ": want " + e.Want }

// Job is one request of a caller.
type Job struct {
	// ID is the request ID that the caller and the upstream see.
	ID      string
	Account plan.AccountID
	Class   plan.ClassID
	Kind    plan.UpstreamKind
	// Target is the ID of the model or service.
	Target string
	Method string
	// Path is the request path at the upstream, including the query.
	Path        string
	ContentType string
	Body        []byte
	// Stream is set if the caller requested a streaming answer.
	Stream bool
	// Chat is set for chat completions and unset for text completions.
	Chat bool
	// MaxOutput is the maximum number of output tokens. Zero means that the
	// request sets none.
	MaxOutput pool.Tokens
	// Prompt is the estimated length of the prompt.
	Prompt pool.Tokens
	// Prefix is the hash of the prompt prefix. It is zero for short prompts.
	Prefix pool.PrefixHash
	// Idempotent is set if the request may be retried after a failure.
	Idempotent bool
	// Patience is the maximum time, counted from the arrival of the request,
	// that it may wait in the queue. Zero means no limit.
	Patience time.Duration
}

// Check returns a FieldError if the job is invalid. It is used for jobs that
// other hosts send.
func (j *Job) Check() error {
	switch {
	case j.ID == "" || len(j.ID) > maxNameBytes:
		return &FieldError{Field: "id", Want: "a short name"}
	case j.Account == "" || len(j.Account) > maxNameBytes:
		return &FieldError{Field: "account", Want: "a short name"}
	case j.Target == "" || len(j.Target) > maxNameBytes:
		return &FieldError{Field: "target", Want: "a short name"}
	case j.Kind != plan.Engine && j.Kind != plan.PlainService:
		return &FieldError{Field: "kind", Want: `"engine" or "service"`}
	case !strings.HasPrefix(j.Path, "/"):
		return &FieldError{Field: "path", Want: "a path"}
	case j.MaxOutput < 0 || j.Prompt < 0:
		return &FieldError{Field: "tokens", Want: "numbers of 0 or more"}
	}
	return nil
}

// TicketHash returns the hash that binds a ticket to the request: a ticket cannot
// be used for a request with another hash.
func (j *Job) TicketHash() ticket.Hash {
	h := sha256.New()
	for _, part := range []string{j.Method, j.Path, string(j.Kind), j.Target, string(j.Class)} {
		_ = binary.Write(h, binary.LittleEndian, uint64(len(part)))
		h.Write([]byte(part))
	}
	h.Write(j.Body)
	return ticket.Hash(h.Sum(nil))
}

// ContentHash returns the hash by which requests that crashed an upstream are
// recognized when they are sent again. It is never zero.
func (j *Job) ContentHash() pool.ContentHash {
	d := xxhash.New()
	_, _ = d.WriteString(j.Target)
	_, _ = d.WriteString(j.Path)
	_, _ = d.Write(j.Body)
	return pool.ContentHash(d.Sum64() | 1)
}

// completionRequest holds the fields of a completion request that the router
// uses.
type completionRequest struct {
	Model               string        `json:"model"`
	Stream              bool          `json:"stream"`
	MaxTokens           *int          `json:"max_tokens"`
	MaxCompletionTokens *int          `json:"max_completion_tokens"`
	Prompt              *string       `json:"prompt"`
	Messages            []chatMessage `json:"messages"`
}

// chatMessage is one message of a chat completion request.
type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// ParseCompletion sets the fields of j from the body of a completion request. The
// body for the engine always requests a stream. It returns a FieldError if the
// request is invalid.
func (j *Job) ParseCompletion(raw []byte) error {
	var c completionRequest
	if err := json.Unmarshal(raw, &c); err != nil {
		return &FieldError{Field: "body", Want: "a completion request in JSON: " + err.Error()}
	}
	if c.Model == "" || len(c.Model) > maxNameBytes {
		return &FieldError{Field: "model", Want: "the name of a model"}
	}
	output, err := c.outputLimit()
	if err != nil {
		return err
	}
	if j.Chat && len(c.Messages) == 0 {
		return &FieldError{Field: "messages", Want: "at least one message"}
	}
	if !j.Chat && c.Prompt == nil {
		return &FieldError{Field: "prompt", Want: "a text"}
	}
	j.Kind, j.Target, j.Stream, j.MaxOutput = plan.Engine, c.Model, c.Stream, output
	j.Method, j.ContentType = http.MethodPost, "application/json"
	j.Body, err = withStreamEnabled(raw)
	if err != nil {
		return &FieldError{Field: "body", Want: err.Error()}
	}
	prompt := c.promptText()
	j.Prompt = pool.Tokens(len(prompt)/bytesPerToken + 1)
	if len(prompt) >= prefixHashBytes {
		j.Prefix = pool.PrefixHash(xxhash.Sum64(prompt[:prefixHashBytes]))
	}
	return nil
}

// outputLimit returns the maximum number of output tokens, or 0 if the request
// sets none.
func (c completionRequest) outputLimit() (pool.Tokens, error) {
	n := c.MaxTokens
	if n == nil {
		n = c.MaxCompletionTokens
	}
	if n == nil {
		return 0, nil
	}
	if *n <= 0 || *n > maxOutputTokens {
		return 0, &FieldError{Field: "max_tokens", Want: "1 to 1048576"}
	}
	return pool.Tokens(*n), nil
}

// promptText returns the prompt followed by the content of all messages.
func (c completionRequest) promptText() []byte {
	var b bytes.Buffer
	if c.Prompt != nil {
		b.WriteString(*c.Prompt)
	}
	for _, m := range c.Messages {
		b.Write(m.Content)
	}
	return b.Bytes()
}

// withStreamEnabled returns the body with its stream field set to true and
// without stream_options.
func withStreamEnabled(raw []byte) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(raw, &fields); err != nil {
		return nil, err
	}
	fields["stream"] = json.RawMessage("true")
	delete(fields, "stream_options")
	return json.Marshal(fields)
}
