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

// errSilent is the cause of a request that is given up for lack of progress.
var errSilent = errors.New("no progress")

// errRejected is returned by a stream whose next event is not acceptable.
var errRejected = errors.New("event rejected")

const eventBytes = 1 << 20

// Event is one part of a streamed answer.
type Event struct {
	// Data is the event as the engine sent it.
	Data []byte
	// Text is the generated text of the event.
	Text string
	// Finish is the engine's reason to stop, in the last event with text.
	FinishReason string
}

// Summary describes a stream that came to its end, whole or not.
type Summary struct {
	// Tokens is the number of events with text.
	Tokens pool.Tokens
	// FirstToken runs from dispatch to the first event. Zero means none came.
	FirstToken time.Duration
	// Between is the mean gap between events.
	BetweenTokens time.Duration
	// Resumed counts how often the stream was taken up again.
	Resumes int
	// Instance is the start of the engine's process that ran the request.
	Instance pool.Instance
}

// chunk is the part of an engine's event that the product reads.
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

// stream is the state of one streamed answer across resumes.
type stream struct {
	client  *Client
	request Request
	sink    func(Event) error
	most    int64
	sent    time.Time
	last    time.Time
	first   func(time.Duration)
	summary Summary
	bytes   int64
	// next is the offset of the next event.
	next      int
	numbered  bool
	finished  bool
	sinkError error
}

// Generate sends a request to an engine and hands each event of the answer to
// sink, in order and once. A stream that breaks off is resumed at the same
// engine, which is no second run. It returns nil only for a whole answer, else
// an Error. First is called with the time to the first token.
func (c *Client) Generate(ctx context.Context, r Request, most int64, first func(time.Duration), sink func(Event) error) (Summary, error) {
	now := time.Now()
	s := &stream{client: c, request: r, sink: sink, most: most, sent: now, last: now, first: first}
	err := s.try(ctx, r)
	for s.canResume(ctx, err) {
		s.summary.Resumes++
		path := "/v1/runs/" + url.PathEscape(r.ID) + "?from=" + strconv.Itoa(s.next)
		err = s.resume(ctx, path, err)
	}
	if n := int(s.summary.Tokens); n > 1 {
		s.summary.BetweenTokens = s.last.Sub(s.sent.Add(s.summary.FirstToken)) / time.Duration(n-1)
	}
	return s.summary, err
}

// canResume says whether a stream broke off in a way that a new connection may
// mend.
func (s *stream) canResume(ctx context.Context, err error) bool {
	var e *Error
	if !errors.As(err, &e) || ctx.Err() != nil || s.sinkError != nil {
		return false
	}
	broke := e.Fault == Broken || e.Fault == Silent
	return broke && s.summary.Instance != "" && s.summary.Resumes < resumeTries && (s.numbered || s.next == 0)
}

// resume reads on over a new connection. It returns the earlier error where
// the engine doesn't hold the run any more.
func (s *stream) resume(ctx context.Context, path string, earlier error) error {
	err := s.try(ctx, Request{ID: s.request.ID, Method: http.MethodGet, Path: path, Ticket: s.request.Ticket})
	var e *Error
	if errors.As(err, &e) && e.NotRun() {
		s.summary.Resumes = resumeTries
		return earlier
	}
	return err
}

// try reads one connection's part of the answer.
func (s *stream) try(parent context.Context, r Request) error {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	watchdog := time.AfterFunc(s.client.patience(s.request), func() { cancel(errSilent) })
	defer watchdog.Stop()
	response, err := s.client.send(ctx, r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if err := s.accept(response); err != nil {
		return err
	}
	reader := bufio.NewReaderSize(response.Body, 4<<10)
	for !s.finished {
		if err := s.readEvent(reader); err != nil {
			return s.classify(ctx, parent, err)
		}
		watchdog.Reset(s.client.silence)
	}
	return nil
}

// accept checks the response's head.
func (s *stream) accept(response *http.Response) error {
	c := s.client
	if err := c.refusal(response); err != nil {
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

func (s *stream) classify(ctx, parent context.Context, err error) error {
	e := &Error{Upstream: s.client.id, Fault: Broken, Reason: err.Error()}
	switch {
	case s.sinkError != nil, parent.Err() != nil:
		e.Fault = CallerGone
	case errors.Is(err, errRejected):
		e.Fault = Mismatch
	case s.bytes > s.most:
		e.Fault = TooLarge
	case errors.Is(context.Cause(ctx), errSilent):
		e.Fault = Silent
	}
	return e
}

// readEvent reads lines up to the end of one event and hands it on.
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
		if rest, ok := bytes.CutPrefix(line, []byte("id: ")); ok {
			if id, err = strconv.Atoi(string(rest)); err != nil {
				return fmt.Errorf("%w: id %q", errRejected, rest)
			}
		}
		if rest, ok := bytes.CutPrefix(line, []byte("data: ")); ok {
			data = bytes.Clone(rest)
		}
	}
	if data == nil {
		return nil
	}
	return s.take(id, data)
}

// readLine returns a line without its end. It fails for a line above eventBytes.
func readLine(r *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		line = append(line, part...)
		if err == nil {
			return bytes.TrimRight(line, "\r\n"), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			if errors.Is(err, io.EOF) {
				return nil, io.ErrUnexpectedEOF
			}
			return nil, err
		}
		if len(line) > eventBytes {
			return nil, fmt.Errorf("%w: line too long", errRejected)
		}
	}
}

// take checks that an event is the next one of this request's own answer.
func (s *stream) take(id int, data []byte) error {
	if id >= 0 {
		s.numbered = true
		if id != s.next {
			return fmt.Errorf("%w: event %d where %d is due", errRejected, id, s.next)
		}
	}
	if string(data) == "[DONE]" {
		s.finished = true
		return nil
	}
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return fmt.Errorf("%w: %s", errRejected, err)
	}
	if c.ID != s.request.ID {
		return fmt.Errorf("%w: answer to request %q", errRejected, c.ID)
	}
	if s.bytes += int64(len(data)); s.bytes > s.most {
		return errors.New("the answer is larger than its bound")
	}
	s.next++
	s.measure(time.Now())
	event := Event{Data: data}
	if len(c.Choices) > 0 {
		event.Text = c.Choices[0].Delta.Content + c.Choices[0].Text
		event.FinishReason = c.Choices[0].FinishReason
	}
	s.sinkError = s.sink(event)
	return s.sinkError
}

func (s *stream) measure(now time.Time) {
	s.summary.Tokens++
	s.last = now
	if s.summary.Tokens == 1 {
		s.summary.FirstToken = now.Sub(s.sent)
		s.first(s.summary.FirstToken)
	}
}
