package registry

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"mulberrydyke/plan"
)

func newTestClient(t *testing.T, handler http.HandlerFunc) *Client {
	t.Helper()
	server := httptest.NewServer(handler)
	client, cleanup := NewClient([]string{server.Listener.Addr().String()})
	t.Cleanup(func() {
		cleanup()
		server.Close()
	})
	return client
}

// TestReadRejectsInvalidResponses checks that Read returns a ReadError for error
// statuses, a missing or invalid index, and oversized or truncated bodies.
func TestReadRejectsInvalidResponses(t *testing.T) {
	for name, handler := range map[string]http.HandlerFunc{
		"unavailable":   func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
		"missing index": func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{}")) },
		"invalid index": func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(IndexHeader, "x") },
		"oversized": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(IndexHeader, "1")
			_, _ = w.Write([]byte(strings.Repeat("x", plan.MaxListBytes+1)))
		},
		"truncated": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(IndexHeader, "1")
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte("x"))
		},
	} {
		t.Run(name, func(t *testing.T) {
			var readErr *ReadError
			if _, err := newTestClient(t, handler).Read(t.Context(), plan.KindPlans); !errors.As(err, &readErr) {
				t.Errorf("got %v, want a ReadError", err)
			}
		})
	}
}

// TestWatchContinuesAfterFailures checks that a watch delivers values and reports
// failures if every other response is an error.
func TestWatchContinuesAfterFailures(t *testing.T) {
	var calls, failures atomic.Int64
	client := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		n := calls.Add(1)
		if n%2 == 1 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Header().Set(IndexHeader, r.URL.Query().Get("index")+"1")
		_, _ = w.Write([]byte("value"))
	})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	values := make(chan Value)
	go client.Watch(ctx, plan.KindPlans, values, func(error) { failures.Add(1) })
	for range 2 {
		select {
		case v := <-values:
			if string(v.Raw) != "value" {
				t.Errorf("got %q", v.Raw)
			}
		case <-ctx.Done():
			t.Fatal("no value within 10 seconds")
		}
	}
	if failures.Load() == 0 {
		t.Error("no failure was reported")
	}
}

// TestReadTriesNextAddress checks that Read uses the second address if nothing
// listens on the first.
func TestReadTriesNextAddress(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(IndexHeader, "1")
		_, _ = w.Write([]byte("value"))
	}))
	defer server.Close()
	client, cleanup := NewClient([]string{"127.0.0.1:1", server.Listener.Addr().String()})
	defer cleanup()
	if v, err := client.Read(t.Context(), plan.KindPlans); err != nil || string(v.Raw) != "value" {
		t.Errorf("got %q, %v", v.Raw, err)
	}
}

// TestWatchReadsAgainAfterAFailure guards against a watch that misses a list because the service
// came back from an older copy and has given out its index again, or because another service has
// another list under the same index.
func TestWatchReadsAgainAfterAFailure(t *testing.T) {
	const index = 5
	var failing atomic.Bool
	serve := func(list string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(IndexHeader, "5")
			if r.FormValue("index") == "5" {
				time.Sleep(5 * time.Millisecond)
				w.WriteHeader(http.StatusNotModified)
				return
			}
			_, _ = w.Write([]byte(list))
		}
	}
	var value atomic.Value
	value.Store("old")
	first := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if failing.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		serve(value.Load().(string))(w, r)
	}))
	defer first.Close()
	second := httptest.NewServer(serve("elsewhere"))
	defer second.Close()
	client, cleanup := NewClient([]string{first.Listener.Addr().String(), second.Listener.Addr().String()})
	defer cleanup()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	values := make(chan Value, 8)
	go client.Watch(ctx, plan.KindPlans, values, func(error) {})
	want := func(list string) {
		t.Helper()
		select {
		case v := <-values:
			if string(v.Raw) != list || v.Index != index {
				t.Errorf("%q with index %d, want %q with %d", v.Raw, v.Index, list, index)
			}
		case <-time.After(5 * time.Second):
			t.Errorf("no list, want %q", list)
		}
	}
	want("old")
	failing.Store(true)
	want("elsewhere")
	value.Store("new")
	failing.Store(false)
	want("new")
}
