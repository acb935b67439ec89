package job

import (
	"encoding/json"
	"errors"
	"testing"

	"mulberrydyke/ticket"
	"mulberrydyke/upstream"
)

func parse(raw string, chat bool) (*Job, error) {
	j := &Job{Chat: chat}
	return j, j.ParseCompletion([]byte(raw))
}

func TestParseCompletion(t *testing.T) {
	j, err := parse(`{"model": "m", "stream": true, "max_tokens": 7, "messages": [{"role": "user", "content": "hello"}], "other": 1}`, true)
	if err != nil {
		t.Fatal(err)
	}
	var body map[string]any
	if err := json.Unmarshal(j.Body, &body); err != nil || body["stream"] != true || body["other"] != 1.0 {
		t.Errorf("unexpected body for the engine: %s", j.Body)
	}
	if !j.Stream || j.MaxOutput != 7 || j.Target != "m" {
		t.Errorf("unexpected job: %+v", j)
	}
}

// TestTicketHashDistinguishesRequests checks that requests that differ in any
// part have different hashes, so that a ticket cannot be used for another request.
func TestTicketHashDistinguishesRequests(t *testing.T) {
	base := Job{Method: "POST", Path: "/a", Target: "m", Class: "c", Body: []byte("x")}
	seen := map[ticket.Hash]string{base.TicketHash(): "base"}
	for name, change := range map[string]func(*Job){
		"method":           func(j *Job) { j.Method = "PUT" },
		"path":             func(j *Job) { j.Path = "/b" },
		"target":           func(j *Job) { j.Target = "n" },
		"class":            func(j *Job) { j.Class = "d" },
		"body":             func(j *Job) { j.Body = []byte("y") },
		"shifted boundary": func(j *Job) { j.Path, j.Target = "/am", "" },
	} {
		changed := base
		change(&changed)
		if existing, ok := seen[changed.TicketHash()]; ok {
			t.Errorf("changed %s: same hash as %s", name, existing)
		}
		seen[changed.TicketHash()] = name
	}
}

// TestCompleteAnswerExcludesFailedAttempt checks that a non-streaming answer does
// not contain the text of a first attempt that failed.
func TestCompleteAnswerExcludesFailedAttempt(t *testing.T) {
	out := ticket.NewAnswer()
	w := NewWriter(&Job{ID: "r", Chat: true}, out)
	_ = w.WriteEvent(upstream.Event{Text: "lost "})
	w.Reset()
	_ = w.WriteEvent(upstream.Event{Text: "a "})
	_ = w.WriteEvent(upstream.Event{Text: "b", FinishReason: "stop"})
	if err := w.Finish(); err != nil {
		t.Fatal(err)
	}
	var got completionResponse
	if err := json.Unmarshal(out.Snapshot().Bytes, &got); err != nil {
		t.Fatal(err)
	}
	if c := got.Choices[0]; c.Message.Content != "a b" || c.FinishReason != "stop" || got.Usage.Completion != 2 {
		t.Errorf("unexpected response: %+v", got)
	}
}

func FuzzParseCompletion(f *testing.F) {
	f.Add([]byte(`{"model": "m", "prompt": "x"}`), false)
	f.Add([]byte(`{"model": "m", "messages": [{"content": ["x"]}]}`), true)
	f.Add([]byte(`{"model": 1}`), true)
	f.Add([]byte(`null`), true)
	f.Fuzz(func(t *testing.T, raw []byte, chat bool) {
		j := &Job{ID: "r", Account: "a", Chat: chat, Path: "/p"}
		err := j.ParseCompletion(raw)
		var fieldErr *FieldError
		if err != nil && !errors.As(err, &fieldErr) {
			t.Errorf("got %v, want a FieldError", err)
		}
		if err == nil && j.Check() != nil {
			t.Errorf("parsed job is invalid: %v", j.Check())
		}
	})
}
