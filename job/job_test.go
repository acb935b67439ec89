package job

import (
	"encoding/json"
	"errors"
	"testing"

	"mulberrydyke/ticket"
	"mulberrydyke/upstream"
)

func read(raw string, chat bool) (*Job, error) {
	j := &Job{Chat: chat}
	return j, j.ReadCompletion([]byte(raw))
}

func TestReadCompletion(t *testing.T) {
	j, err := read(`{"model": "m", "stream": true, "max_tokens": 7, "messages": [{"role": "user", "content": "hello"}], "other": 1}`, true)
	if err != nil {
		t.Fatal(err)
	}
	var body map[string]any
	if err := json.Unmarshal(j.Body, &body); err != nil || body["stream"] != true || body["other"] != 1.0 {
		t.Errorf("body for the engine: %s", j.Body)
	}
	if !j.Stream || j.MaxOutput != 7 || j.Target != "m" {
		t.Errorf("job: %+v", j)
	}
}

// TestHashTellsRequestsApart checks that a ticket can't be used for another
// request.
func TestHashTellsRequestsApart(t *testing.T) {
	base := Job{Method: "POST", Path: "/a", Target: "m", Class: "c", Body: []byte("x")}
	seen := map[ticket.Hash]string{base.Hash(): "base"}
	for name, change := range map[string]func(*Job){
		"method": func(j *Job) { j.Method = "PUT" },
		"path":   func(j *Job) { j.Path = "/b" },
		"target": func(j *Job) { j.Target = "n" },
		"class":  func(j *Job) { j.Class = "d" },
		"body":   func(j *Job) { j.Body = []byte("y") },
		"shift":  func(j *Job) { j.Path, j.Target = "/am", "" },
	} {
		other := base
		change(&other)
		if known, ok := seen[other.Hash()]; ok {
			t.Errorf("%s has the hash of %s", name, known)
		}
		seen[other.Hash()] = name
	}
}

// TestWholeAnswerCollectsTheText checks the answer of a caller that wants no
// stream, after a first try that broke off.
func TestWholeAnswerCollectsTheText(t *testing.T) {
	out := ticket.NewAnswer()
	w := NewWriter(&Job{ID: "r", Chat: true}, out)
	_ = w.Event(upstream.Event{Text: "lost "})
	w.Reset()
	_ = w.Event(upstream.Event{Text: "a "})
	_ = w.Event(upstream.Event{Text: "b", FinishReason: "stop"})
	if err := w.Finish(); err != nil {
		t.Fatal(err)
	}
	var got whole
	if err := json.Unmarshal(out.Snapshot().Bytes, &got); err != nil {
		t.Fatal(err)
	}
	if c := got.Choices[0]; c.Message.Content != "a b" || c.FinishReason != "stop" || got.Usage.Completion != 2 {
		t.Errorf("got %+v", got)
	}
}

func FuzzReadCompletion(f *testing.F) {
	f.Add([]byte(`{"model": "m", "prompt": "x"}`), false)
	f.Add([]byte(`{"model": "m", "messages": [{"content": ["x"]}]}`), true)
	f.Add([]byte(`{"model": 1}`), true)
	f.Add([]byte(`null`), true)
	f.Fuzz(func(t *testing.T, raw []byte, chat bool) {
		j := &Job{ID: "r", Account: "a", Chat: chat, Path: "/p"}
		err := j.ReadCompletion(raw)
		var field *FieldError
		if err != nil && !errors.As(err, &field) {
			t.Errorf("%v is no typed error", err)
		}
		if err == nil && j.Check() != nil {
			t.Errorf("a job that was read is not valid: %v", j.Check())
		}
	})
}
