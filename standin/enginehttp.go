package standin

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/pathvar"

	"mulberrydyke/upstream"
	"mulberrydyke/web"
)

// defaultMaxTokens is the output length of requests that set no max_tokens.
const defaultMaxTokens = 64

// engineRequest holds the fields of a completion request that the engine uses.
type engineRequest struct {
	Model    string `json:"model"`
	Stream   bool   `json:"stream"`
	Prompt   string `json:"prompt"`
	Messages []struct {
		Content string `json:"content"`
	} `json:"messages"`
	MaxTokens int `json:"max_tokens"`
}

// text returns the prompt and the contents of all messages.
func (r engineRequest) text() string {
	text := r.Prompt
	for _, m := range r.Messages {
		text += m.Content
	}
	return text
}

// Serve listens on address and returns the actual address and a function that
// stops the listener.
func (e *Engine) Serve(address string) (string, func(), error) {
	return web.Serve(address, []rest.Route{
		{Method: http.MethodPost, Path: "/v1/chat/completions", Handler: e.complete},
		{Method: http.MethodPost, Path: "/v1/completions", Handler: e.complete},
		{Method: http.MethodGet, Path: "/v1/runs/:id", Handler: e.resume},
		{Method: http.MethodDelete, Path: "/v1/runs/:id", Handler: e.delete},
		{Method: http.MethodGet, Path: "/v1/load", Handler: e.load},
		{Method: http.MethodGet, Path: "/ledger", Handler: e.getLedger},
		{Method: http.MethodPut, Path: "/faults", Handler: e.putFaults},
		{Method: http.MethodPut, Path: "/crash", Handler: func(http.ResponseWriter, *http.Request) { e.Crash() }},
	}, http.NotFound, maxConnections)
}

// abort closes the connection without completing the response.
func abort() { panic(http.ErrAbortHandler) }

// complete accepts a completion request and streams the response.
func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	instance := e.Instance()
	if e.isDown(time.Now()) {
		abort()
	}
	var request engineRequest
	if !web.ReadJSON(w, r, &request) {
		return
	}
	e.identify(w, instance)
	if e.Faults().Refuse {
		http.Error(w, "refused before running", http.StatusServiceUnavailable)
		return
	}
	id := r.Header.Get("X-Request-Id")
	if id == "" {
		id = uuid.NewString()
	}
	priority, _ := strconv.Atoi(r.Header.Get("X-Priority"))
	maxTokens := request.MaxTokens
	if maxTokens <= 0 {
		maxTokens = defaultMaxTokens
	}
	g := e.submit(instance, id, r.Header.Get("X-Ticket"), request.text(), maxTokens, priority)
	if g == nil {
		abort()
	}
	e.writeResponse(w, r, g, 0)
}

// identify sets the header fields in which the engine names its process and says whether it
// is draining.
func (e *Engine) identify(w http.ResponseWriter, instance string) {
	w.Header().Set("X-Instance", instance)
	setDraining(w, e.Faults().Draining)
}

// setDraining sets the header field in which a draining upstream says so.
func setDraining(w http.ResponseWriter, draining bool) {
	if draining {
		w.Header().Set(upstream.DrainingHeader, "1")
	}
}

// resume streams the response to an earlier request from a given token on.
func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	if e.isDown(time.Now()) {
		abort()
	}
	e.identify(w, e.Instance())
	g := e.find(pathvar.Vars(r)["id"])
	if g == nil {
		http.Error(w, "no such run", http.StatusNotFound)
		return
	}
	from, err := strconv.Atoi(r.FormValue("from"))
	if err != nil || from < 0 {
		http.Error(w, "from: want a number", http.StatusBadRequest)
		return
	}
	e.writeResponse(w, r, g, from)
}

var errClientGone = errors.New("the client disconnected")

// writeResponse streams a request's tokens, beginning with index from. After the
// client disconnects, the request can be resumed for a short time before it is
// canceled.
func (e *Engine) writeResponse(w http.ResponseWriter, r *http.Request, g *generation, from int) {
	const reconnectGrace = time.Second
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	err := e.stream(w, r, g, from)
	if err != nil {
		time.AfterFunc(reconnectGrace, func() { e.cancelUnfinished(g) })
	}
}

func (e *Engine) cancelUnfinished(g *generation) {
	if _, done, _, _ := g.state(); !done {
		e.cancel(g)
	}
}

// stream writes tokens as they are generated, beginning with index sent, and
// aborts the connection if the request ends early.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, g *generation, sent int) error {
	controller := http.NewResponseController(w)
	for {
		generated, done, crashed, changed := g.state()
		if crashed {
			abort()
		}
		if resetAfter := e.Faults().ResetAfterTokens; resetAfter > 0 && sent >= resetAfter && r.Method == http.MethodPost {
			abort()
		}
		for ; sent < generated; sent++ {
			e.writeToken(w, g, sent)
		}
		if done && sent >= g.maxTokens {
			fmt.Fprintf(w, "id: %d\ndata: [DONE]\n\n", sent)
			return controller.Flush()
		}
		if done {
			abort()
		}
		if err := controller.Flush(); err != nil {
			return err
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return errClientGone
		}
	}
}

func (e *Engine) writeToken(w http.ResponseWriter, g *generation, i int) {
	finishReason := "null"
	if i == g.maxTokens-1 {
		finishReason = `"stop"`
	}
	fmt.Fprintf(w, "id: %d\ndata: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{\"content\":%q},\"finish_reason\":%s}]}\n\n",
		i, g.id, g.token(i), finishReason)
}

func (e *Engine) delete(_ http.ResponseWriter, r *http.Request) {
	if g := e.find(pathvar.Vars(r)["id"]); g != nil {
		e.cancel(g)
	}
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	if e.isDown(time.Now()) {
		abort()
	}
	e.identify(w, e.Instance())
	web.WriteJSON(w, http.StatusOK, e.LoadReport(time.Now()))
}

func (e *Engine) getLedger(w http.ResponseWriter, _ *http.Request) {
	web.WriteJSON(w, http.StatusOK, e.ledger.Entries())
}

func (e *Engine) putFaults(w http.ResponseWriter, r *http.Request) {
	var f EngineFaults
	if web.ReadJSON(w, r, &f) {
		e.SetFaults(f)
	}
}
