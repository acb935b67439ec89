// Package job holds a caller's request after it was read and checked, in the
// form in which hosts pass it on.
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
	// charsPerToken estimates the length of a prompt.
	charsPerToken = 4
	// prefixBytes is how much of a prompt's beginning decides its placement.
	prefixBytes = 1024
	nameMost    = 256
	outputMost  = 1 << 20
)

// FieldError reports a part of a request that is not valid.
type FieldError struct {
	Field string
	Want  string
}

func (e *FieldError) Error() string { return e.Field + ": want " + e.Want }

// Job is one request.
type Job struct {
	// ID names the request towards the caller and the upstream.
	ID      string
	Account plan.AccountID
	Class   plan.ClassID
	Kind    plan.UpstreamKind
	// Target is the model or the service.
	Target string
	Method string
	// Path is the path at the upstream, with its query.
	Path        string
	ContentType string
	Body        []byte
	// Stream says whether the caller wants the answer token by token.
	Stream bool
	// Chat tells the two forms of completions apart.
	Chat      bool
	MaxOutput pool.Tokens
	Prompt    pool.Tokens
	Prefix    pool.PrefixHash
	// Idempotent jobs may run again after a failure.
	Idempotent bool
	// Patience is the longest wait in the queue. Zero means no bound.
	Patience time.Duration
}

// Check reports a job that is not valid. It is called on jobs of other hosts.
func (j *Job) Check() error {
	switch {
	case j.ID == "" || len(j.ID) > nameMost:
		return &FieldError{Field: "id", Want: "a short name"}
	case j.Account == "" || len(j.Account) > nameMost:
		return &FieldError{Field: "account", Want: "a short name"}
	case j.Target == "" || len(j.Target) > nameMost:
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

// Hash identifies the request's content for tickets.
func (j *Job) TicketHash() ticket.Hash {
	h := sha256.New()
	for _, part := range []string{j.Method, j.Path, string(j.Kind), j.Target, string(j.Class)} {
		_ = binary.Write(h, binary.LittleEndian, uint64(len(part)))
		h.Write([]byte(part))
	}
	h.Write(j.Body)
	return ticket.Hash(h.Sum(nil))
}

// Content identifies the request's content for suspects.
func (j *Job) ContentHash() pool.ContentHash {
	d := xxhash.New()
	_, _ = d.WriteString(j.Target)
	_, _ = d.WriteString(j.Path)
	_, _ = d.Write(j.Body)
	return pool.ContentHash(d.Sum64() | 1)
}

// completion is the part of a completion request that the product reads.
type completion struct {
	Model     string    `json:"model"`
	Stream    bool      `json:"stream"`
	MaxTokens *int      `json:"max_tokens"`
	MaxNew    *int      `json:"max_completion_tokens"`
	Prompt    *string   `json:"prompt"`
	Messages  []message `json:"messages"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// ReadCompletion fills a job from the body of a completion request. The body
// that goes to the engine always asks for a stream. It fails with a FieldError.
func (j *Job) ParseCompletion(raw []byte) error {
	var c completion
	if err := json.Unmarshal(raw, &c); err != nil {
		return &FieldError{Field: "body", Want: "a completion request in JSON: " + err.Error()}
	}
	if c.Model == "" || len(c.Model) > nameMost {
		return &FieldError{Field: "model", Want: "the name of a model"}
	}
	output, err := c.output()
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
	j.Body, err = asStream(raw)
	if err != nil {
		return &FieldError{Field: "body", Want: err.Error()}
	}
	prompt := c.text()
	j.Prompt = pool.Tokens(len(prompt)/charsPerToken + 1)
	if len(prompt) >= prefixBytes {
		j.Prefix = pool.PrefixHash(xxhash.Sum64(prompt[:prefixBytes]))
	}
	return nil
}

func (c completion) output() (pool.Tokens, error) {
	n := c.MaxTokens
	if n == nil {
		n = c.MaxNew
	}
	if n == nil {
		return 0, nil
	}
	if *n <= 0 || *n > outputMost {
		return 0, &FieldError{Field: "max_tokens", Want: "1 to 1048576"}
	}
	return pool.Tokens(*n), nil
}

func (c completion) text() []byte {
	var b bytes.Buffer
	if c.Prompt != nil {
		b.WriteString(*c.Prompt)
	}
	for _, m := range c.Messages {
		b.Write(m.Content)
	}
	return b.Bytes()
}

// asStream returns the body with its stream field set.
func asStream(raw []byte) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(raw, &fields); err != nil {
		return nil, err
	}
	fields["stream"] = json.RawMessage("true")
	delete(fields, "stream_options")
	return json.Marshal(fields)
}
