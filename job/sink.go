package job

import (
	"bytes"
	"encoding/json"
	"strings"

	"mulberrydyke/ticket"
	"mulberrydyke/upstream"
)

// Output is where an answer's bytes go.
type Output interface {
	// Begin is called once, before the first bytes.
	Begin(ticket.Head)
	Write([]byte) (int, error)
}

// Writer turns an engine's events into what the caller of a job gets: the
// events themselves, or one whole answer at the end.
type Writer struct {
	job    *Job
	out    Output
	began  bool
	text   strings.Builder
	finish string
	tokens int
}

// NewWriter returns a writer for a job's answer.
func NewWriter(j *Job, out Output) *Writer { return &Writer{job: j, out: out} }

// Began says whether anything has reached the caller.
func (w *Writer) Began() bool { return w.began }

// Reset forgets the text of a try that broke off before anything reached the
// caller.
func (w *Writer) Reset() {
	w.text.Reset()
	w.finish, w.tokens = "", 0
}

// Event takes the next event of the answer.
func (w *Writer) Event(e upstream.Event) error {
	w.tokens++
	if e.FinishReason != "" {
		w.finish = e.FinishReason
	}
	if !w.job.Stream {
		w.text.WriteString(e.Text)
		return nil
	}
	w.begin("text/event-stream")
	var line bytes.Buffer
	line.WriteString("data: ")
	line.Write(e.Data)
	line.WriteString("\n\n")
	_, err := w.out.Write(line.Bytes())
	return err
}

func (w *Writer) begin(contentType string) {
	if !w.began {
		w.began = true
		w.out.Begin(ticket.Head{Status: 200, ContentType: contentType})
	}
}

// whole is a whole answer in the callers' protocol.
type whole struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   usage    `json:"usage"`
}

type choice struct {
	Index        int     `json:"index"`
	Message      *answer `json:"message,omitempty"`
	Text         string  `json:"text,omitempty"`
	FinishReason string  `json:"finish_reason"`
}

type answer struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

// Finish ends a whole answer.
func (w *Writer) Finish() error {
	if w.job.Stream {
		w.begin("text/event-stream")
		_, err := w.out.Write([]byte("data: [DONE]\n\n"))
		return err
	}
	c := choice{FinishReason: w.finish}
	object := "text_completion"
	if w.job.Chat {
		object = "chat.completion"
		c.Message = &answer{Role: "assistant", Content: w.text.String()}
	} else {
		c.Text = w.text.String()
	}
	raw, err := json.Marshal(whole{
		ID: w.job.ID, Object: object, Model: w.job.Target, Choices: []choice{c},
		Usage: usage{Prompt: int(w.job.Prompt), Completion: w.tokens, Total: int(w.job.Prompt) + w.tokens},
	})
	if err != nil {
		return err
	}
	w.begin("application/json")
	_, err = w.out.Write(raw)
	return err
}
