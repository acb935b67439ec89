package standin

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"mulberrydyke/plan"
	"mulberrydyke/registry"
	"mulberrydyke/upstream"
)

// TestStandInsSayThatTheyDrain checks that an engine and a service say in their responses that
// they are draining, refusals included, as soon as the fault is set.
func TestStandInsSayThatTheyDrain(t *testing.T) {
	service := NewService("s")
	for _, c := range []struct {
		faults ServiceFaults
		want   string
	}{{ServiceFaults{}, ""}, {ServiceFaults{Draining: true}, "1"}, {ServiceFaults{Draining: true, Refuse: true}, "1"}} {
		service.SetFaults(c.faults)
		w := httptest.NewRecorder()
		service.call(w, httptest.NewRequest(http.MethodPost, "/x", strings.NewReader("b")))
		if got := w.Header().Get(upstream.DrainingHeader); got != c.want {
			t.Errorf("%+v: %q, want %q", c.faults, got, c.want)
		}
	}
	engine, cleanup := NewEngine(DefaultEngineOptions("e"))
	defer cleanup()
	engine.SetFaults(EngineFaults{Draining: true, Refuse: true})
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(`{"prompt":"p"}`))
	r.Header.Set("Content-Type", "application/json")
	engine.complete(w, r)
	if got := w.Header().Get(upstream.DrainingHeader); got != "1" {
		t.Errorf("engine: %q, want 1", got)
	}
}

// TestWatchFollowsARestoredPlatform guards against a list that is not read because it was written
// after the platform had come back from an older copy, under an index that was seen before.
func TestWatchFollowsARestoredPlatform(t *testing.T) {
	p := NewPlatform()
	address, stop, err := p.Serve("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	client, cleanup := registry.NewClient([]string{address})
	defer cleanup()
	values := make(chan registry.Value, 8)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go client.Watch(ctx, plan.KindPlans, values, func(error) {})
	want := func(list string) {
		t.Helper()
		for timeout := time.After(5 * time.Second); ; {
			select {
			case v := <-values:
				if string(v.Raw) == list {
					return
				}
			case <-timeout:
				t.Fatalf("list %q was not read", list)
			}
		}
	}
	p.Publish(plan.KindPlans, []byte("first"))
	want("first")
	older := p.Copy()
	p.Publish(plan.KindPlans, []byte("lost"))
	want("lost")
	p.SetFaults(PlatformFaults{Down: true})
	time.Sleep(50 * time.Millisecond)
	p.Restore(older)
	p.Publish(plan.KindPlans, []byte("anew"))
	p.SetFaults(PlatformFaults{})
	want("anew")
}
