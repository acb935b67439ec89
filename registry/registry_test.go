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

func serve(t *testing.T, handler http.HandlerFunc) *Client {
	t.Helper()
	server := httptest.NewServer(handler)
	client, cleanup := NewClient([]string{server.Listener.Addr().String()})
	t.Cleanup(func() {
		cleanup()
		server.Close()
	})
	return client
}

// TestBadAnswersAreErrors checks that no answer but a value of the right size
// is taken for one.
func TestBadAnswersAreErrors(t *testing.T) {
	for name, handler := range map[string]http.HandlerFunc{
		"down":      func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
		"no index":  func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{}")) },
		"bad index": func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(IndexHeader, "x") },
		"oversized": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(IndexHeader, "1")
			_, _ = w.Write([]byte(strings.Repeat("x", plan.MaxListBytes+1)))
		},
		"cut off": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(IndexHeader, "1")
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte("x"))
		},
	} {
		t.Run(name, func(t *testing.T) {
			var e *ReadError
			if _, err := serve(t, handler).Read(t.Context(), plan.KindPlans); !errors.As(err, &e) {
				t.Errorf("got %v", err)
			}
		})
	}
}

// TestWatchGoesOnAfterFailures lets every other answer fail.
func TestWatchGoesOnAfterFailures(t *testing.T) {
	var calls, failures atomic.Int64
	c := serve(t, func(w http.ResponseWriter, r *http.Request) {
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
	go c.Watch(ctx, plan.KindPlans, values, func(error) { failures.Add(1) })
	for range 2 {
		select {
		case v := <-values:
			if string(v.Raw) != "value" {
				t.Errorf("got %q", v.Raw)
			}
		case <-ctx.Done():
			t.Fatal("no value came")
		}
	}
	if failures.Load() == 0 {
		t.Error("no failure was reported")
	}
}

// TestNextAddressIsTried gives an address where nobody answers first.
func TestNextAddressIsTried(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(IndexHeader, "1")
		_, _ = w.Write([]byte("value"))
	}))
	defer server.Close()
	c, cleanup := NewClient([]string{"127.0.0.1:1", server.Listener.Addr().String()})
	defer cleanup()
	if v, err := c.Read(t.Context(), plan.KindPlans); err != nil || string(v.Raw) != "value" {
		t.Errorf("got %q, %v", v.Raw, err)
	}
}
