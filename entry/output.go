package entry

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"mulberrydyke/job"
	"mulberrydyke/refusal"
	"mulberrydyke/ticket"
	"mulberrydyke/web"
)

// output writes an answer to a caller.
type output struct {
	w       http.ResponseWriter
	control *http.ResponseController
	silence time.Duration
	id      string
	began   bool
	events  bool
}

func newOutput(c *call, j *job.Job, silence time.Duration) *output {
	return &output{w: c.w, control: http.NewResponseController(c.w), silence: silence, id: j.ID}
}

// Begin writes the head.
func (o *output) Begin(h ticket.Head) {
	o.began = true
	o.events = h.ContentType == "text/event-stream"
	if h.ContentType != "" {
		o.w.Header().Set("Content-Type", h.ContentType)
	}
	o.w.Header().Set("X-Request-Id", o.id)
	o.w.WriteHeader(max(h.Status, http.StatusOK))
}

// Write writes bytes at once. A caller that takes nothing for too long is
// given up.
func (o *output) Write(p []byte) (int, error) {
	_ = o.control.SetWriteDeadline(time.Now().Add(o.silence))
	n, err := o.w.Write(p)
	if err != nil {
		return n, err
	}
	return n, o.control.Flush()
}

// end ends the answer. An error before the first byte is returned as it is.
// Later, a stream ends in an error event, and any other answer in a closed
// connection, so that it doesn't look whole.
func (o *output) end(err error) error {
	_ = o.control.SetWriteDeadline(time.Time{})
	if err == nil || !o.began {
		return err
	}
	if !o.events {
		panic(http.ErrAbortHandler)
	}
	raw, _ := json.Marshal(envelopeOf(refusal.Of(err)))
	var event bytes.Buffer
	event.WriteString("event: error\ndata: ")
	event.Write(raw)
	event.WriteString("\n\n")
	_, _ = o.Write(event.Bytes())
	return nil
}

// envelope is the shape of a refusal.
type envelope struct {
	Error body `json:"error"`
}

type body struct {
	Message    string         `json:"message"`
	Type       string         `json:"type"`
	Code       refusal.Code   `json:"code"`
	Outcome    ticket.Outcome `json:"outcome"`
	RetryAfter float64        `json:"retry-after,omitempty"`
	Advice     string         `json:"advice"`
	Ticket     ticket.Token   `json:"ticket,omitempty"`
}

func envelopeOf(e *refusal.Error) envelope {
	return envelope{Error: body{
		Message: e.Message, Type: "refusal", Code: e.Code, Outcome: e.Outcome,
		RetryAfter: e.RetryAfter.Seconds(), Advice: e.Row().Advice, Ticket: e.Ticket,
	}}
}

func writeRefusal(w http.ResponseWriter, e *refusal.Error) {
	if e.RetryAfter > 0 {
		seconds := int((e.RetryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	web.WriteJSON(w, e.Row().Status, envelopeOf(e))
}

// bodyFirst is how much memory a body gets before any of it came.
const bodyFirst = 64 << 10

// readAll reads a body. What the caller says of its length is believed up to a
// small bound only.
func readAll(r io.Reader, length int64) ([]byte, error) {
	var b bytes.Buffer
	b.Grow(int(min(max(length, 512), bodyFirst)))
	_, err := b.ReadFrom(r)
	return b.Bytes(), err
}
