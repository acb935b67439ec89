package upstream

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"mulberrydyke/pool"
)

// errNoProgress is the cancellation cause of a request that made no progress
// within its timeout.
var errNoProgress = errors.New("no progress")

// errInvalidEvent is wrapped by the errors for an event that is malformed, out of
// order or part of another request's response.
var errInvalidEvent = errors.New("event rejected")

// maxLineBytes limits the length of one line of an event stream.
const maxLineBytes = 1 << 20

// Event is one event of a streamed response.
type Event struct {
	// Data is the event's data as the engine sent it.
	Data []byte
	// Text is the generated text of the event.
	Text string
	// FinishReason is the engine's reason for ending the generation. It is set in
	// the last event with text.
	FinishReason string
}

// Summary describes a stream that ended, complete or not.
type Summary struct {
	// Tokens is the number of events before [DONE], each counted as one token.
	Tokens pool.Tokens
	// FirstToken is the time from sending the request to the first event, or zero
	// if no event arrived.
	FirstToken time.Duration
	// BetweenTokens is the mean time between events.
	BetweenTokens time.Duration
	// Resumes counts how often the stream was resumed.
	Resumes int
	// Instance is the instance of the engine's process that ran the request.
	Instance pool.Instance
}

// chunk holds the fields of an engine's event that are read here.
type chunk struct {
	ID      string `json:"id"`
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
}

// stream holds the state of one streamed response across resumes.
type stream struct {
	client       *Client
	request      Request
	sink         func(Event) error
	maxBytes     int64
	sentAt       time.Time
	lastEventAt  time.Time
	onFirstToken func(time.Duration)
	summary      Summary
	bytesRead    int64
	// nextIndex is the index of the next event, counted from 0.
	nextIndex   int
	hasEventIDs bool
	done        bool
	sinkErr     error
}

// Generate sends a request to an engine and passes each event of the response to
// sink, in order and exactly once. An interrupted stream is resumed at the same
// engine, which continues the run rather than starting a second one. The error is
// nil if the response is complete, and an *Error otherwise. onFirstToken is called
// with the time to the first token.
func (c *Client) Generate(ctx context.Context, r Request, maxBytes int64, onFirstToken func(time.Duration), sink func(Event) error) (Summary, error) {
	now := time.Now()
	s := &stream{client: c, request: r, sink: sink, maxBytes: maxBytes, sentAt: now, lastEventAt: now, onFirstToken: onFirstToken}
	err := s.readConnection(ctx, r)
	for s.canResume(ctx, err) {
		s.summary.Resumes++
		path := "/v1/runs/" + url.PathEscape(r.ID) + "?from=" + strconv.Itoa(s.nextIndex)
		err = s.resume(ctx, path, err)
	}
	if n := int(s.summary.Tokens); n > 1 {
		s.summary.BetweenTokens = s.lastEventAt.Sub(s.sentAt.Add(s.summary.FirstToken)) / time.Duration(n-1)
	}
	return s.summary, err
}

// canResume reports whether the stream may be resumed after err: it was
// interrupted, its instance is known, resumes are left, and the next event can be
// identified by its ID (or no event has arrived yet).
func (s *stream) canResume(ctx context.Context, err error) bool {
	var e *Error
	if !errors.As(err, &e) || ctx.Err() != nil || s.sinkErr != nil {
		return false
	}
	interrupted := e.Fault == Broken || e.Fault == Silent
	return interrupted && s.summary.Instance != "" && s.summary.Resumes < maxResumes && (s.hasEventIDs || s.nextIndex == 0)
}

// resume continues the stream over a new connection. If the request to resume did
// not run, for example because the engine no longer holds the run, it returns
// previousErr and allows no further resumes.
func (s *stream) resume(ctx context.Context, path string, previousErr error) error {
	err := s.readConnection(ctx, Request{ID: s.request.ID, Method: http.MethodGet, Path: path, Ticket: s.request.Ticket, NewConnection: true})
	var e *Error
	if errors.As(err, &e) && e.NotRun() {
		s.summary.Resumes = maxResumes
		return previousErr
	}
	return err
}

// readConnection sends r and reads events until the stream is done or the
// connection fails.
func (s *stream) readConnection(parent context.Context, r Request) error {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	watchdog := time.AfterFunc(s.client.firstEventTimeout(s.request), func() { cancel(errNoProgress) })
	defer watchdog.Stop()
	response, err := s.client.send(ctx, r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if err := s.checkHead(response); err != nil {
		return err
	}
	reader := bufio.NewReaderSize(response.Body, 4<<10)
	for !s.done {
		if err := s.readEvent(reader); err != nil {
			return s.classifyReadError(ctx, parent, err)
		}
		watchdog.Reset(s.client.progressTimeout)
	}
	return nil
}

// checkHead checks the status and the instance header of a response. A resumed
// stream is refused if the engine has restarted, since the new process does not
// hold the run.
func (s *stream) checkHead(response *http.Response) error {
	c := s.client
	if err := c.checkRefused(response); err != nil {
		return err
	}
	instance := pool.Instance(response.Header.Get(InstanceHeader))
	restarted := s.summary.Instance != "" && instance != s.summary.Instance
	if response.StatusCode >= http.StatusInternalServerError {
		return &Error{Upstream: c.id, Fault: Broken, Status: response.StatusCode, Reason: response.Status}
	}
	if response.StatusCode != http.StatusOK || restarted {
		return &Error{Upstream: c.id, Fault: Refused, Status: response.StatusCode, Reason: response.Status}
	}
	s.summary.Instance = instance
	return nil
}

// classifyReadError returns the *Error for a failed read of the stream. The caller's
// context is parent; ctx is derived from it and also canceled on lack of progress.
func (s *stream) classifyReadError(ctx, parent context.Context, err error) error {
	e := &Error{Upstream: s.client.id, Fault: Broken, Reason: err.Error()}
	switch {
	case s.sinkErr != nil, parent.Err() != nil:
		e.Fault = CallerGone
	case errors.Is(err, errInvalidEvent):
		e.Fault = Mismatch
	case s.bytesRead > s.maxBytes:
		e.Fault = TooLarge
	case errors.Is(context.Cause(ctx), errNoProgress):
		e.Fault = Silent
	}
	return e
}

// readEvent reads the lines of one event up to the blank line that ends it, and
// handles the event if it has data.
func (s *stream) readEvent(r *bufio.Reader) error {
	id, data := -1, []byte(nil)
	for {
		line, err := readLine(r)
		if err != nil {
			return err
		}
		if len(line) == 0 {
			break
		}
		if value, ok := bytes.CutPrefix(line, []byte("id: ")); ok {
			if id, err = strconv.Atoi(string(value)); err != nil {
				return fmt.Errorf("%w: id %q", errInvalidEvent, value)
			}
		}
		if value, ok := bytes.CutPrefix(line, []byte("data: ")); ok {
			data = bytes.Clone(value)
		}
	}
	if data == nil {
		return nil
	}
	return s.handleEvent(id, data)
}

// readLine returns a line without its line ending. It fails for lines longer than
// maxLineBytes.
func readLine(r *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		fragment, err := r.ReadSlice('\n')
		line = append(line, fragment...)
		if err == nil {
			return bytes.TrimRight(line, "\r\n"), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			if errors.Is(err, io.EOF) {
				return nil, io.ErrUnexpectedEOF
			}
			return nil, err
		}
		if len(line) > maxLineBytes {
			return nil, fmt.Errorf("%w: line too long", errInvalidEvent)
		}
	}
}

// handleEvent checks that an event is the next one of this request's response and
// passes it to the sink. The event [DONE] marks the stream as done.
func (s *stream) handleEvent(id int, data []byte) error {
	if id >= 0 {
		s.hasEventIDs = true
		if id != s.nextIndex {
			return fmt.Errorf("%w: event %d where %d is due", errInvalidEvent, id, s.nextIndex)
		}
	}
	if string(data) == "[DONE]" {
		s.done = true
		return nil
	}
	var parsed chunk
	if err := json.Unmarshal(data, &parsed); err != nil {
		return fmt.Errorf("%w: %s", errInvalidEvent, err)
	}
	if parsed.ID != s.request.ID {
		return fmt.Errorf("%w: answer to request %q", errInvalidEvent, parsed.ID)
	}
	if s.bytesRead += int64(len(data)); s.bytesRead > s.maxBytes {
		return errors.New("the answer is larger than its bound")
	}
	s.nextIndex++
	s.recordToken(time.Now())
	event := Event{Data: data}
	if len(parsed.Choices) > 0 {
		event.Text = parsed.Choices[0].Delta.Content + parsed.Choices[0].Text
		event.FinishReason = parsed.Choices[0].FinishReason
	}
	s.sinkErr = s.sink(event)
	return s.sinkErr
}

// recordToken counts a token and reports the time to the first one.
func (s *stream) recordToken(now time.Time) {
	s.summary.Tokens++
	s.lastEventAt = now
	if s.summary.Tokens == 1 {
		s.summary.FirstToken = now.Sub(s.sentAt)
		s.onFirstToken(s.summary.FirstToken)
	}
}
