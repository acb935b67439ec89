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

	"mulberrydyke/web"
)

const defaultOutput = 64

// engineRequest is the part of a completion request that the engine reads.
type engineRequest struct {
	Model    string `json:"model"`
	Stream   bool   `json:"stream"`
	Prompt   string `json:"prompt"`
	Messages []struct {
		Content string `json:"content"`
	} `json:"messages"`
	MaxTokens int `json:"max_tokens"`
}

func (r engineRequest) text() string {
	text := r.Prompt
	for _, m := range r.Messages {
		text += m.Content
	}
	return text
}

// Serve listens on address and returns the address and a clean-up function.
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
	}, http.NotFound, connections)
}

// abort closes the connection without an answer.
func abort() { panic(http.ErrAbortHandler) }

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	instance := e.Instance()
	if e.isDown(time.Now()) {
		abort()
	}
	var request engineRequest
	if !web.ReadJSON(w, r, &request) {
		return
	}
	w.Header().Set("X-Instance", instance)
	if e.Faults().Refuse {
		http.Error(w, "refused before running", http.StatusServiceUnavailable)
		return
	}
	id := r.Header.Get("X-Request-Id")
	if id == "" {
		id = uuid.NewString()
	}
	priority, _ := strconv.Atoi(r.Header.Get("X-Priority"))
	output := request.MaxTokens
	if output <= 0 {
		output = defaultOutput
	}
	g := e.submit(instance, id, r.Header.Get("X-Ticket"), request.text(), output, priority)
	if g == nil {
		abort()
	}
	e.answer(w, r, g, 0)
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	if e.isDown(time.Now()) {
		abort()
	}
	w.Header().Set("X-Instance", e.Instance())
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
	e.answer(w, r, g, from)
}

var errGone = errors.New("the reader left")

// answer streams a request's tokens from an offset. A reader that leaves may
// come back for a while, then the request is cancelled.
func (e *Engine) answer(w http.ResponseWriter, r *http.Request, g *generation, from int) {
	const grace = time.Second
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	err := e.stream(w, r, g, from)
	if err != nil {
		time.AfterFunc(grace, func() { e.cancelUnread(g) })
	}
}

func (e *Engine) cancelUnread(g *generation) {
	if _, over, _, _ := g.look(); !over {
		e.cancel(g)
	}
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, g *generation, sent int) error {
	flush := http.NewResponseController(w)
	for {
		produced, over, crashed, moved := g.look()
		if crashed {
			abort()
		}
		if reset := e.Faults().ResetAfterTokens; reset > 0 && sent >= reset && r.Method == http.MethodPost {
			abort()
		}
		for ; sent < produced; sent++ {
			e.writeToken(w, g, sent)
		}
		if over && sent >= g.output {
			fmt.Fprintf(w, "id: %d\ndata: [DONE]\n\n", sent)
			return flush.Flush()
		}
		if over {
			abort()
		}
		if err := flush.Flush(); err != nil {
			return err
		}
		select {
		case <-moved:
		case <-r.Context().Done():
			return errGone
		}
	}
}

func (e *Engine) writeToken(w http.ResponseWriter, g *generation, i int) {
	finish := "null"
	if i == g.output-1 {
		finish = `"stop"`
	}
	fmt.Fprintf(w, "id: %d\ndata: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{\"content\":%q},\"finish_reason\":%s}]}\n\n",
		i, g.id, g.text(i), finish)
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
	w.Header().Set("X-Instance", e.Instance())
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
