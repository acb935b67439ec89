package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"mulberrydyke/link"
	"mulberrydyke/plan"
	"mulberrydyke/standin"
)

// Result is the outcome of one request as its caller saw it.
type Result struct {
	Class plan.ClassID
	Tier  plan.Tier
	// Offset is the time of the arrival from the start of the run.
	Offset time.Duration
	// Code is empty for a complete response. Otherwise it is the code of the
	// refusal or names the failure that the client saw.
	Code string
	// Outcome is the outcome that a refusal states: whether the request ran.
	Outcome string
	// FirstToken is the time from the arrival to the first token.
	FirstToken time.Duration
	// BetweenTokens is the mean time between tokens.
	BetweenTokens time.Duration
	// Total is the time from the arrival to the last event.
	Total     time.Duration
	Tokens    int
	MetTarget bool
	// Corrupt is set if the response belonged to another request or its tokens
	// were not the expected ones.
	Corrupt bool
}

// Client sends requests to hosts or engines as a caller.
type Client struct {
	http *http.Client
}

// NewClient returns a client and its cleanup function.
func NewClient() (*Client, func()) {
	const maxIdleConnsPerHost = 512
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost, MaxIdleConns: 0}
	checked := link.CheckResponses(transport, &net.Dialer{})
	return &Client{http: &http.Client{Transport: checked}}, transport.CloseIdleConnections
}

// chatRequest is the body of a chat completion request.
type chatRequest struct {
	Model     plan.ModelID  `json:"model"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
	Messages  []chatMessage `json:"messages"`
}

// chatMessage is one message of a chatRequest.
type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatBody returns the body of a chat completion request.
func ChatBody(model plan.ModelID, prompt string, maxTokens int, stream bool) []byte {
	raw, err := json.Marshal(chatRequest{
		Model: model, Stream: stream, MaxTokens: maxTokens, Messages: []chatMessage{{Role: "user", Content: prompt}},
	})
	if err != nil {
		panic(err)
	}
	return raw
}

// Send sends the request of an arrival to address and reads the streamed response.
func (c *Client) Send(ctx context.Context, address string, model plan.ModelID, a Arrival) Result {
	result := Result{Class: a.Class.ID, Tier: a.Class.Tier, Offset: a.Offset}
	started := time.Now()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions",
		bytes.NewReader(ChatBody(model, a.Prompt, a.OutputTokens, true)))
	if err != nil {
		result.Code = "client"
		return result
	}
	request.Header.Set("Authorization", "Bearer "+AccountKey(a.Account))
	request.Header.Set("X-Class", string(a.Class.ID))
	response, err := c.http.Do(request)
	if err != nil {
		result.Code = "connection"
		return result
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		result.Code, result.Outcome = readRefusal(response.Body)
		return result
	}
	readStream(response.Body, started, a, &result)
	result.MetTarget = result.Code == "" && result.FirstToken <= a.Class.Target.FirstToken.Std() &&
		result.BetweenTokens <= a.Class.Target.BetweenTokens.Std()
	return result
}

// errorBody holds the fields of an error response that are read here.
type errorBody struct {
	Error struct {
		Code    string `json:"code"`
		Outcome string `json:"outcome"`
	} `json:"error"`
}

// readRefusal decodes the code and the outcome of an error response.
func readRefusal(r io.Reader) (code, outcome string) {
	var b errorBody
	if err := json.NewDecoder(r).Decode(&b); err != nil {
		return "unreadable", ""
	}
	return b.Error.Code, b.Error.Outcome
}

// chunk holds the fields of a streamed event that are read here.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// readStream reads a streamed response into result. It checks that the response is
// complete and belongs to the arrival.
func readStream(r io.Reader, started time.Time, a Arrival, result *Result) {
	contentHash := standin.ContentHash(a.Prompt)
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 4096), 1<<20)
	done, lastEventAt := false, started
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		switch {
		case !ok:
		case data == "[DONE]":
			done = true
		default:
			lastEventAt = time.Now()
			readEvent(data, contentHash, lastEventAt.Sub(started), result)
		}
	}
	result.Total = lastEventAt.Sub(started)
	if result.Tokens > 1 {
		result.BetweenTokens = (result.Total - result.FirstToken) / time.Duration(result.Tokens-1)
	}
	if result.Code != "" {
		return
	}
	if !done {
		result.Code = "broken"
		return
	}
	result.Corrupt = result.Corrupt || result.Tokens != a.OutputTokens
}

// readEvent adds one event to result. It compares the event's token with the one that
// the stand-in engine generates for the prompt.
func readEvent(data, contentHash string, elapsed time.Duration, result *Result) {
	if strings.HasPrefix(data, `{"error"`) {
		result.Code, result.Outcome = readRefusal(strings.NewReader(data))
		return
	}
	var c chunk
	if err := json.Unmarshal([]byte(data), &c); err != nil || len(c.Choices) == 0 {
		result.Corrupt = true
		return
	}
	if c.Choices[0].Delta.Content != standin.TokenText(contentHash, result.Tokens) {
		result.Corrupt = true
	}
	if result.Tokens == 0 {
		result.FirstToken = elapsed
	}
	result.Tokens++
}

// sortArrivals sorts by time, and by account where times are equal.
func sortArrivals(arrivals []Arrival) {
	slices.SortFunc(arrivals, func(x, y Arrival) int {
		if x.Offset != y.Offset {
			return int(x.Offset - y.Offset)
		}
		return strings.Compare(fmt.Sprint(x.Account), fmt.Sprint(y.Account))
	})
}
