package job

import (
	"bytes"
	"encoding/json"
	"strings"

	"mulberrydyke/ticket"
	"mulberrydyke/upstream"
)

// Output receives the head and the body of an answer.
type Output interface {
	// Begin is called once, before the first call of Write.
	Begin(ticket.Head)
	// Write appends to the body.
	Write([]byte) (int, error)
}

// Writer converts an engine's events to the answer to the caller of a job:
// either a stream of the events, or one complete answer at the end.
type Writer struct {
	job          *Job
	out          Output
	started      bool
	text         strings.Builder
	finishReason string
	tokens       int
}

// NewWriter returns a Writer for the answer to a job.
func NewWriter(j *Job, out Output) *Writer { return &Writer{job: j, out: out} }

// Started reports whether a part of the answer was passed to the output.
func (w *Writer) Started() bool { return w.started }

// Reset discards the text of a failed attempt. It must be called only before the
// answer is started.
func (w *Writer) Reset() {
	w.text.Reset()
	w.finishReason, w.tokens = "", 0
}

// WriteEvent adds the next event to the answer.
func (w *Writer) WriteEvent(e upstream.Event) error {
	w.tokens++
	if e.FinishReason != "" {
		w.finishReason = e.FinishReason
	}
	if !w.job.Stream {
		w.text.WriteString(e.Text)
		return nil
	}
	w.start("text/event-stream")
	var frame bytes.Buffer
	frame.WriteString("data: ")
	frame.Write(e.Data)
	frame.WriteString("\n\n")
	_, err := w.out.Write(frame.Bytes())
	return err
}

// start passes the head of the answer to the output, unless it has been called
// before.
func (w *Writer) start(contentType string) {
	if !w.started {
		w.started = true
		w.out.Begin(ticket.Head{Status: 200, ContentType: contentType})
	}
}

// completionResponse is the JSON body of a complete, non-streaming answer.
type completionResponse struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   usage    `json:"usage"`
}

// choice is the generated text: a message for chat completions, else a text.
type choice struct {
	Index        int              `json:"index"`
	Message      *responseMessage `json:"message,omitempty"`
	Text         string           `json:"text,omitempty"`
	FinishReason string           `json:"finish_reason"`
}

// responseMessage is the message of a chat completion.
type responseMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// usage holds the token counts of a completion.
type usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

// Finish completes the answer: it ends the stream, or writes the complete
// answer.
func (w *Writer) Finish() error {
	if w.job.Stream {
		w.start("text/event-stream")
		_, err := w.out.Write([]byte("data: [DONE]\n\n"))
		return err
	}
	c := choice{FinishReason: w.finishReason}
	object := "text_completion"
	if w.job.Chat {
		object = "chat.completion"
		c.Message = &responseMessage{Role: "assistant", Content: w.text.String()}
	} else {
		c.Text = w.text.String()
	}
	raw, err := json.Marshal(completionResponse{
		ID: w.job.ID, Object: object, Model: w.job.Target, Choices: []choice{c},
		Usage: usage{Prompt: int(w.job.Prompt), Completion: w.tokens, Total: int(w.job.Prompt) + w.tokens},
	})
	if err != nil {
		return err
	}
	w.start("application/json")
	_, err = w.out.Write(raw)
	return err
}
