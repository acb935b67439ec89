package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"mulberrydyke/fault"
	"mulberrydyke/plan"
)

const testProgressTimeout = 300 * time.Millisecond

// startUpstream starts an upstream with the given handler and returns a client for
// it.
func startUpstream(t *testing.T, handler http.HandlerFunc) *Client {
	t.Helper()
	server := httptest.NewServer(handler)
	client, cleanup := NewClient(plan.Upstream{ID: plan.UpstreamID(t.Name()), Address: server.Listener.Addr().String()}, testProgressTimeout)
	t.Cleanup(func() {
		cleanup()
		server.CloseClientConnections()
		server.Close()
	})
	return client
}

// tokenEvent returns an event with a token of the request with the given ID.
func tokenEvent(id string, index int) string {
	return fmt.Sprintf("id: %d\ndata: {\"id\":%q,\"choices\":[{\"delta\":{\"content\":\"t%d \"}}]}\n\n", index, id, index)
}

// generate sends a request with the ID "own" and returns the generated text, the
// summary and the error.
func generate(c *Client, ticket string) (string, Summary, error) {
	text := ""
	request := Request{ID: "own", Method: http.MethodPost, Path: "/v1/chat/completions", Ticket: ticket}
	summary, err := c.Generate(context.Background(), request, 1<<20, func(time.Duration) {}, func(e Event) error {
		text += e.Text
		return nil
	})
	return text, summary, err
}

// assertFault marks the test as failed unless err is an *Error with the given fault.
func assertFault(t *testing.T, err error, want Fault) {
	t.Helper()
	var e *Error
	if !errors.As(err, &e) || e.Fault != want {
		t.Errorf("got %v, want fault %s", err, want)
	}
}

// TestForeignRepeatedAndMissingEventsAreRejected checks that a stream is not taken
// for a complete response if an event belongs to another request or is repeated,
// missing or malformed.
func TestForeignRepeatedAndMissingEventsAreRejected(t *testing.T) {
	for name, events := range map[string][]string{
		"another request's event": {tokenEvent("own", 0), tokenEvent("other", 1), "id: 2\ndata: [DONE]\n\n"},
		"repeated event":          {tokenEvent("own", 0), tokenEvent("own", 0), "id: 1\ndata: [DONE]\n\n"},
		"missing event":           {tokenEvent("own", 0), tokenEvent("own", 2), "id: 3\ndata: [DONE]\n\n"},
		"end with a wrong ID":     {tokenEvent("own", 0), "id: 5\ndata: [DONE]\n\n"},
		"invalid JSON":            {"id: 0\ndata: nonsense\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			c := startUpstream(t, func(w http.ResponseWriter, _ *http.Request) {
				for _, e := range events {
					fmt.Fprint(w, e)
				}
			})
			_, _, err := generate(c, "")
			assertFault(t, err, Mismatch)
		})
	}
}

func TestStreamWithoutDoneEventIsBroken(t *testing.T) {
	c := startUpstream(t, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, tokenEvent("own", 0)) })
	_, _, err := generate(c, "")
	assertFault(t, err, Broken)
}

// TestBrokenStreamIsResumedAtSameInstance checks that a stream whose connection
// breaks is resumed at the next event, but not if the engine has restarted in the
// meantime.
func TestBrokenStreamIsResumedAtSameInstance(t *testing.T) {
	for name, resumeInstance := range map[string]string{"same process": "p1", "restarted": "p2"} {
		t.Run(name, func(t *testing.T) {
			c := startUpstream(t, func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodPost {
					w.Header().Set(InstanceHeader, "p1")
					fmt.Fprint(w, tokenEvent("own", 0))
					_ = http.NewResponseController(w).Flush()
					panic(http.ErrAbortHandler)
				}
				w.Header().Set(InstanceHeader, resumeInstance)
				fmt.Fprint(w, tokenEvent("own", 1), "id: 2\ndata: [DONE]\n\n")
			})
			text, summary, err := generate(c, "ticket")
			if resumeInstance == "p2" {
				assertFault(t, err, Broken)
				return
			}
			if err != nil || text != "t0 t1 " || summary.Resumes != 1 {
				t.Errorf("got %q, %+v, %v", text, summary, err)
			}
		})
	}
}

// TestStalledStreamIsResumedOverANewConnection guards against a stream that is resumed over
// idle connections which went silent together with its own, until no resume is left, and is
// then run a second time on another engine.
func TestStalledStreamIsResumedOverANewConnection(t *testing.T) {
	release := make(chan struct{})
	warmedUp := make(chan struct{})
	warmUps := make(chan struct{}, 3)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(InstanceHeader, "p1")
		switch {
		case r.URL.Path == "/v1/load":
			warmUps <- struct{}{}
			<-warmedUp
			fmt.Fprint(w, "{}")
		case r.Method == http.MethodPost:
			fmt.Fprint(w, tokenEvent("own", 0))
			_ = http.NewResponseController(w).Flush()
			<-release
		default:
			fmt.Fprint(w, tokenEvent("own", 1), "id: 2\ndata: [DONE]\n\n")
		}
	}))
	defer server.Close()
	defer close(release)
	proxy, closeProxy, err := fault.NewProxy(server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer closeProxy()
	c, cleanup := NewClient(plan.Upstream{ID: "u", Address: proxy.Address()}, testProgressTimeout)
	defer cleanup()
	var reads sync.WaitGroup
	for range cap(warmUps) {
		reads.Go(func() { _, _ = c.LoadReport(context.Background()) })
	}
	for range cap(warmUps) {
		<-warmUps
	}
	close(warmedUp)
	reads.Wait()
	text := ""
	summary, err := c.Generate(context.Background(), Request{ID: "own", Method: http.MethodPost, Path: "/v1/chat/completions"}, 1<<20,
		func(time.Duration) { proxy.SetMode(fault.StallExisting) }, func(e Event) error {
			text += e.Text
			return nil
		})
	if err != nil || text != "t0 t1 " || summary.Resumes != 1 {
		t.Errorf("got %q, %+v, %v", text, summary, err)
	}
}

func TestStalledStreamIsAborted(t *testing.T) {
	release := make(chan struct{})
	c := startUpstream(t, func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, tokenEvent("own", 0))
		_ = http.NewResponseController(w).Flush()
		<-release
	})
	defer close(release)
	_, _, err := generate(c, "")
	assertFault(t, err, Silent)
}

// TestRefusedAndUnsentRequestsAreNotRun checks the two faults for which NotRun holds:
// the upstream refuses the request, or can't be connected to.
func TestRefusedAndUnsentRequestsAreNotRun(t *testing.T) {
	refusing := startUpstream(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	_, _, err := generate(refusing, "")
	assertFault(t, err, Refused)
	listener, _ := net.Listen("tcp", "127.0.0.1:0")
	address := listener.Addr().String()
	_ = listener.Close()
	unreachable, cleanup := NewClient(plan.Upstream{ID: "gone", Address: address}, testProgressTimeout)
	defer cleanup()
	_, _, err = generate(unreachable, "ticket")
	assertFault(t, err, NotSent)
}

// TestTicketRequestsUseNewConnections checks that each request that must not run
// twice opens its own connection.
func TestTicketRequestsUseNewConnections(t *testing.T) {
	requestsByAddress := map[string]int{}
	c := startUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		requestsByAddress[r.RemoteAddr]++
		fmt.Fprint(w, tokenEvent("own", 0), "id: 1\ndata: [DONE]\n\n")
	})
	for range 3 {
		if _, _, err := generate(c, "ticket"); err != nil {
			t.Fatal(err)
		}
	}
	if len(requestsByAddress) != 3 {
		t.Errorf("3 requests used %d connections", len(requestsByAddress))
	}
}

func TestOversizedResponseIsAborted(t *testing.T) {
	c := startUpstream(t, func(w http.ResponseWriter, _ *http.Request) {
		for i := range 100000 {
			if _, err := fmt.Fprint(w, tokenEvent("own", i)); err != nil {
				return
			}
		}
	})
	_, _, err := generate(c, "")
	assertFault(t, err, TooLarge)
}
