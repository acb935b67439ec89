//go:build review

package lab

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a client has seen of one request.
type answer struct {
	id              string
	sentAt, endedAt time.Time
	status          int
	signed          bool
	body            string
	complete        bool
	err             error
	// closes is set if the host said that it closes the connection.
	closes bool
}

// client is one connection of a client to a host.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dialClient(address string) (*client, error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (c *client) close() { _ = c.conn.Close() }

// request is what a client sends.
type request struct {
	id, method, path, key string
	deadline              time.Duration
	headers               string
	body                  string
}

// send sends a request and reads its answer to the end.
func (c *client) send(r request) (a answer) {
	a = answer{id: r.id}
	defer func() { a.endedAt = time.Now() }()
	_ = c.conn.SetDeadline(time.Now().Add(r.deadline + time.Second)) // fails only on a closed connection
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nAuthorization: Bearer %s\r\nDeadline-Ms: %d\r\n%sContent-Length: %d\r\n\r\n",
		r.method, r.path, routeHost, r.id, r.key, r.deadline.Milliseconds(), r.headers, len(r.body))
	a.sentAt = time.Now()
	if _, a.err = io.WriteString(c.conn, head+r.body); a.err != nil {
		return a
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.signed, a.closes = response.StatusCode, response.Header.Get("Response-Seal") != "", response.Close
	raw, err := io.ReadAll(response.Body)
	a.body, a.err, a.complete = string(raw), err, err == nil
	return a
}

// routeHost is the host of all routes.
const routeHost = "desk.example"

// desk is the configuration that the operator writes.
type desk struct {
	version int
	keys    []string
	// idleRoutes are further routes, which nobody uses.
	idleRoutes int
}

// value returns the configuration in the form of the store.
func (d *desk) value() map[string]any {
	routes := []any{
		deskRoute("box-lookup", "idempotent", "desk-app", 2000, 300, 2),
		deskRoute("print-commit", "non_idempotent", "desk-app", 2000, 300, 1),
		deskRoute("label-draft", "streaming", "mulberry-pool", 4000, 600, 1),
	}
	for i := range d.idleRoutes {
		routes = append(routes, deskRoute(fmt.Sprintf("idle-%d", i), "idempotent", "desk-app", 2000, 300, 2))
	}
	return map[string]any{
		"version": d.version, "routes": routes,
		"services": []any{
			map[string]any{"name": "desk-app", "healthPath": "/health", "maxConnections": 110},
			map[string]any{"name": "mulberry-pool", "healthPath": "/health", "maxConnections": 370,
				"engine": map[string]any{"slots": 64, "kvCapacityTokens": 271071, "stride": 6}},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 10000},
		"tenants": []any{map[string]any{"name": "huka270", "priority": 1, "apiKeys": d.keys}},
	}
}

func deskRoute(name, kind, service string, timeoutMs, targetMs, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": routeHost, "prefix": "/" + name + "/", "kind": kind, "service": service, "timeoutMs": timeoutMs,
		"targetLatencyMs": targetMs, "targetGapMs": 500, "maxAttempts": attempts, "priority": 1,
		"sessionAffinity": strings.HasSuffix(name, "draft"),
	}
}
