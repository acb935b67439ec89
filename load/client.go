package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"mulberrydyke/plan"
	"mulberrydyke/standin"
)

// Result is what one caller got.
type Result struct {
	Class plan.ClassID
	Tier  plan.Tier
	At    time.Duration
	// Code is empty for a whole answer. Otherwise it is the refusal's code.
	Code    string
	Outcome string
	// FirstToken runs from arrival to the first token.
	FirstToken time.Duration
	Between    time.Duration
	Total      time.Duration
	Tokens     int
	Attained   bool
	// Foreign is set where the answer was not the caller's own or not whole.
	Foreign bool
}

// Client sends requests as callers do.
type Client struct {
	http *http.Client
}

// NewClient returns a client and its clean-up function.
func NewClient() (*Client, func()) {
	const idle = 512
	t := &http.Transport{MaxIdleConnsPerHost: idle, MaxIdleConns: 0}
	return &Client{http: &http.Client{Transport: t}}, t.CloseIdleConnections
}

type chatRequest struct {
	Model     plan.ModelID  `json:"model"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
	Messages  []chatMessage `json:"messages"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatBody returns the body of a chat completion.
func ChatBody(model plan.ModelID, prompt string, output int, stream bool) []byte {
	raw, err := json.Marshal(chatRequest{
		Model: model, Stream: stream, MaxTokens: output, Messages: []chatMessage{{Role: "user", Content: prompt}},
	})
	if err != nil {
		panic(err)
	}
	return raw
}

// Send sends an arrival to a host and reads the answer.
func (c *Client) Send(ctx context.Context, address string, model plan.ModelID, a Arrival) Result {
	out := Result{Class: a.Class.Class, Tier: a.Class.Tier, At: a.At}
	started := time.Now()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions",
		bytes.NewReader(ChatBody(model, a.Prompt, a.Output, true)))
	if err != nil {
		out.Code = "client"
		return out
	}
	request.Header.Set("Authorization", "Bearer "+KeyOf(a.Account))
	request.Header.Set("X-Class", string(a.Class.Class))
	response, err := c.http.Do(request)
	if err != nil {
		out.Code = "connection"
		return out
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		out.Code, out.Outcome = readRefusal(response.Body)
		return out
	}
	readStream(response.Body, started, a, &out)
	out.Attained = out.Code == "" && out.FirstToken <= a.Class.Target.FirstToken.Std() &&
		out.Between <= a.Class.Target.BetweenTokens.Std()
	return out
}

type refusalBody struct {
	Error struct {
		Code    string `json:"code"`
		Outcome string `json:"outcome"`
	} `json:"error"`
}

func readRefusal(r io.Reader) (code, outcome string) {
	var b refusalBody
	if err := json.NewDecoder(r).Decode(&b); err != nil {
		return "unreadable", ""
	}
	return b.Error.Code, b.Error.Outcome
}

type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// readStream reads a streamed answer and checks that it is the caller's own
// and whole.
func readStream(r io.Reader, started time.Time, a Arrival, out *Result) {
	mark := standin.ContentHash(a.Prompt)
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 4096), 1<<20)
	whole, last := false, started
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case !ok:
		case data == "[DONE]":
			whole = true
		default:
			last = time.Now()
			readEvent(data, mark, last.Sub(started), out)
		}
	}
	out.Total = last.Sub(started)
	if out.Tokens > 1 {
		out.Between = (out.Total - out.FirstToken) / time.Duration(out.Tokens-1)
	}
	if out.Code != "" {
		return
	}
	if !whole {
		out.Code = "broken"
		return
	}
	out.Foreign = out.Foreign || out.Tokens != a.Output
}

func readEvent(data, mark string, since time.Duration, out *Result) {
	if strings.HasPrefix(data, `{"error"`) {
		out.Code, out.Outcome = readRefusal(strings.NewReader(data))
		return
	}
	var c chunk
	if err := json.Unmarshal([]byte(data), &c); err != nil || len(c.Choices) == 0 {
		out.Foreign = true
		return
	}
	if c.Choices[0].Delta.Content != standin.TokenText(mark, out.Tokens) {
		out.Foreign = true
	}
	if out.Tokens == 0 {
		out.FirstToken = since
	}
	out.Tokens++
}

func sortArrivals(a []Arrival) {
	slices.SortFunc(a, func(x, y Arrival) int {
		if x.At != y.At {
			return int(x.At - y.At)
		}
		return strings.Compare(fmt.Sprint(x.Account), fmt.Sprint(y.Account))
	})
}
