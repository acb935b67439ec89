package answer_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"mulberrydyke/call"
	"mulberrydyke/link"
	"mulberrydyke/plan"
	"mulberrydyke/platform"
	"mulberrydyke/upstream"
)

// startPlainServer starts a server that responds to all requests with a few fields and a short body.
func startPlainServer(b *testing.B) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		h := w.Header()
		h.Set("Request-Id", "own")
		h.Set("Response-Seal", "3e1b.07.5a2.600.0.c9f2a4d1")
		h.Set("Content-Type", "application/json")
		h.Set("Keep-Alive", "timeout=30")
		_, _ = io.WriteString(w, `{"answer":"a short one"}`)
	}))
	b.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// BenchmarkForwardedRequest measures plain requests over a kept connection, as the users' platform has them.
func BenchmarkForwardedRequest(b *testing.B) {
	pool, cleanup := link.NewPool(startPlainServer(b))
	defer cleanup()
	request := &call.Request{ID: "own", Method: http.MethodPost, Target: "/", Host: "h", Body: []byte("a short body")}
	for b.Loop() {
		conn, err := pool.Get(context.Background(), time.Now())
		if err != nil {
			b.Fatal(err)
		}
		x, err := conn.Send(b.Context(), platform.Dialect{}, request, http.Header{}, time.Time{})
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.ReadAll(x.Body()); err != nil {
			b.Fatal(err)
		}
		x.Release(pool, time.Now(), link.NoIdleLimit)
	}
}

// BenchmarkCall measures plain requests over a kept connection, as the product's own interface has them.
func BenchmarkCall(b *testing.B) {
	c, cleanup := upstream.NewClient(plan.Upstream{ID: "u", Address: startPlainServer(b)}, time.Minute)
	defer cleanup()
	request := upstream.Request{ID: "own", Method: http.MethodPost, Path: "/", Body: []byte("a short body")}
	for b.Loop() {
		if _, err := c.Call(b.Context(), request, 1<<20); err != nil {
			b.Fatal(err)
		}
	}
}
