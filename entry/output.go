package entry

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"mulberrydyke/job"
	"mulberrydyke/refusal"
	"mulberrydyke/ticket"
	"mulberrydyke/web"
)

// callerOutput writes an answer to the HTTP response of a caller.
type callerOutput struct {
	w            http.ResponseWriter
	controller   *http.ResponseController
	writeTimeout time.Duration
	requestID    string
	headWritten  bool
	eventStream  bool
}

func newCallerOutput(c *callContext, j *job.Job, writeTimeout time.Duration) *callerOutput {
	return &callerOutput{w: c.w, controller: http.NewResponseController(c.w), writeTimeout: writeTimeout, requestID: j.ID}
}

// Begin writes the status and headers of the response. It aborts the connection of the caller if the
// status is not that of a final response.
func (o *callerOutput) Begin(h ticket.Head) {
	if h.Status < http.StatusOK {
		panic(http.ErrAbortHandler)
	}
	o.headWritten = true
	o.eventStream = h.ContentType == "text/event-stream"
	if h.ContentType != "" {
		o.w.Header().Set("Content-Type", h.ContentType)
	}
	o.w.Header().Set("X-Request-Id", o.requestID)
	o.w.WriteHeader(h.Status)
}

// Write writes p and flushes it. It fails if the caller does not take the bytes
// within the write timeout.
func (o *callerOutput) Write(p []byte) (int, error) {
	_ = o.controller.SetWriteDeadline(time.Now().Add(o.writeTimeout))
	n, err := o.w.Write(p)
	if err != nil {
		return n, err
	}
	return n, o.controller.Flush()
}

// finish ends the answer. An error that occurs before the head was written is
// returned unchanged. After that, an event stream ends with an error event. Any
// other answer ends with an aborted connection, so that the caller doesn't take
// it for complete.
func (o *callerOutput) finish(err error) error {
	_ = o.controller.SetWriteDeadline(time.Time{})
	if err == nil || !o.headWritten {
		return err
	}
	if !o.eventStream {
		panic(http.ErrAbortHandler)
	}
	encoded, _ := json.Marshal(newErrorResponse(refusal.FromError(err)))
	var event bytes.Buffer
	event.WriteString("event: error\ndata: ")
	event.Write(encoded)
	event.WriteString("\n\n")
	_, _ = o.Write(event.Bytes())
	return nil
}

// errorResponse is the JSON body of a refusal.
type errorResponse struct {
	Error errorBody `json:"error"`
}

// errorBody holds the details of a refusal.
type errorBody struct {
	Message    string         `json:"message"`
	Type       string         `json:"type"`
	Code       refusal.Code   `json:"code"`
	Outcome    ticket.Outcome `json:"outcome"`
	RetryAfter float64        `json:"retry-after,omitempty"`
	Advice     string         `json:"advice"`
	Ticket     ticket.Token   `json:"ticket,omitempty"`
}

// newErrorResponse returns the response body for a refusal.
func newErrorResponse(refused *refusal.Error) errorResponse {
	return errorResponse{Error: errorBody{
		Message: refused.Message, Type: "refusal", Code: refused.Code, Outcome: refused.Outcome,
		RetryAfter: refused.RetryAfter.Seconds(), Advice: refused.Row().Advice, Ticket: refused.Ticket,
	}}
}

// writeRefusal sends a refusal as the response. The Retry-After header is
// rounded up to whole seconds.
func writeRefusal(w http.ResponseWriter, refused *refusal.Error) {
	if refused.RetryAfter > 0 {
		seconds := int((refused.RetryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	web.WriteJSON(w, refused.Row().Status, newErrorResponse(refused))
}
