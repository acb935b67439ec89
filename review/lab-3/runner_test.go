//go:build review

package lab

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Names of the services and the routes of all cases.
const (
	appService   = "desk-app"
	modelService = "mulberry-pool"
	callerHost   = "kawu51.example"
	lookupPath   = "/lookup/"
	// queryPath is followed by the number of events of the stream.
	queryPath = "/query/"
)

// configuration returns the operator's configuration, as the pages show it.
func configuration(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{
			{
				"name": "r-lookup", "host": callerHost, "prefix": lookupPath, "kind": "idempotent", "timeoutMs": 4000,
				"targetLatencyMs": 300, "priority": 2, "service": appService, "maxAttempts": 2, "allowAnonymous": true,
			},
			{
				"name": "r-query", "host": callerHost, "prefix": queryPath, "kind": "streaming", "timeoutMs": 12000,
				"targetLatencyMs": 400, "priority": 0, "service": modelService, "maxAttempts": 1, "allowAnonymous": true,
				"sessionAffinity": true, "streamResume": false, "targetGapMs": 300,
			},
		},
		"services": []map[string]any{
			{"name": appService, "healthPath": "/health", "maxConnections": 110},
			{
				"name": modelService, "healthPath": "/health", "maxConnections": 370,
				"engine": map[string]any{"slots": 64, "kvCapacityTokens": 271071, "stride": 6},
			},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "huka270", "apiKeys": []string{"xd9dnn2ctnfzs989anu6"}}},
	}
}

// arrival is a request that has reached a runner.
type arrival struct {
	request string
	runner  string
	at      time.Time
}

// runner is a stand-in for a runner. It echoes the request's ID, signs its answers, and
// rejects requests for another instance.
type runner struct {
	id, service string
	server      *http.Server
	address     string
	born        int64
	// arrived is called with each request.
	arrived func(arrival)
	// work is how long a request takes.
	work time.Duration
}

// start starts the runner at a free port.
func (r *runner) start() error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.address, r.born = listener.Addr().String(), time.Now().UnixMilli()
	r.server = &http.Server{Handler: r, IdleTimeout: 20 * time.Second}
	go func() { _ = r.server.Serve(listener) }() // ends with the runner
	return nil
}

// entry is the runner's entry in the store.
func (r *runner) entry(sequence int) map[string]any {
	return map[string]any{
		"service": r.service, "address": r.address, "zone": "a", "version": "v1", "slots": 64, "state": "ready",
		"coldRemainingMs": 0, "sequence": sequence, "born": r.born,
	}
}

// ServeHTTP implements http.Handler.
func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Request-Id")
	if expected := q.Header.Get("Expect-Instance"); expected != "" && expected != r.id {
		w.Header().Set("Instance-Id", r.id)
		w.Header().Set("Request-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.arrived(arrival{request: id, runner: r.id, at: time.Now()})
	w.Header().Set("Request-Id", id)
	w.Header().Set("Response-Seal", "seal-"+r.id+"-"+id)
	if r.service == modelService {
		r.stream(w, q)
		return
	}
	time.Sleep(r.work)
	body := []byte("answer of " + r.id + " to " + id + "\n")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body) // the host may have gone
}

// stream sends as many events as the path names.
func (r *runner) stream(w http.ResponseWriter, q *http.Request) {
	events, _ := strconv.Atoi(strings.TrimPrefix(q.URL.Path, queryPath))
	w.Header().Set("Content-Type", "text/event-stream")
	for i := 1; i <= events; i++ {
		fmt.Fprintf(w, "id: %d\ndata: piece %d of %d\n\n", i, i, events)
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
		if i == events {
			return
		}
		select {
		case <-time.After(crowdEventGap):
		case <-q.Context().Done():
			return
		}
	}
}

// addRunner starts a runner that registers in the store.
func (w *world) addRunner(r *runner) error {
	if err := r.start(); err != nil {
		return err
	}
	w.store.put("servers/"+r.id, r.entry(1))
	w.record.printf("runner %s is ready at %s", r.id, r.address)
	return nil
}
