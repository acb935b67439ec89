package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"mulberrydyke/plan"
)

const testSilence = 300 * time.Millisecond

// serve starts an engine that answers by a function.
func serve(t *testing.T, handler http.HandlerFunc) *Client {
	t.Helper()
	server := httptest.NewServer(handler)
	client, cleanup := NewClient(plan.Upstream{ID: plan.UpstreamID(t.Name()), Address: server.Listener.Addr().String()}, testSilence)
	t.Cleanup(func() {
		cleanup()
		server.CloseClientConnections()
		server.Close()
	})
	return client
}

func token(id string, n int) string {
	return fmt.Sprintf("id: %d\ndata: {\"id\":%q,\"choices\":[{\"delta\":{\"content\":\"t%d \"}}]}\n\n", n, id, n)
}

// generate sends a request and returns the text and the error.
func generate(c *Client, ticket string) (string, Summary, error) {
	text := ""
	request := Request{ID: "own", Method: http.MethodPost, Path: "/v1/chat/completions", Ticket: ticket}
	summary, err := c.Generate(context.Background(), request, 1<<20, func(time.Duration) {}, func(e Event) error {
		text += e.Text
		return nil
	})
	return text, summary, err
}

func wantFault(t *testing.T, err error, want Fault) {
	t.Helper()
	var e *Error
	if !errors.As(err, &e) || e.Fault != want {
		t.Errorf("got %v, want fault %s", err, want)
	}
}

// TestSplicedStreamIsRejected brings events of another request, repeated and
// missing ones into a stream. None may look whole.
func TestSplicedStreamIsRejected(t *testing.T) {
	for name, events := range map[string][]string{
		"another request's event": {token("own", 0), token("other", 1), "id: 2\ndata: [DONE]\n\n"},
		"an event twice":          {token("own", 0), token("own", 0), "id: 1\ndata: [DONE]\n\n"},
		"a missing event":         {token("own", 0), token("own", 2), "id: 3\ndata: [DONE]\n\n"},
		"an end too early":        {token("own", 0), "id: 5\ndata: [DONE]\n\n"},
		"no JSON":                 {"id: 0\ndata: nonsense\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			c := serve(t, func(w http.ResponseWriter, _ *http.Request) {
				for _, e := range events {
					fmt.Fprint(w, e)
				}
			})
			_, _, err := generate(c, "")
			wantFault(t, err, Mismatch)
		})
	}
}

func TestStreamWithoutEndIsBroken(t *testing.T) {
	c := serve(t, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, token("own", 0)) })
	_, _, err := generate(c, "")
	wantFault(t, err, Broken)
}

// TestBrokenStreamIsResumed breaks a stream off and checks that it is taken up
// at the next event, at the same process only.
func TestBrokenStreamIsResumed(t *testing.T) {
	for name, second := range map[string]string{"same process": "p1", "restarted": "p2"} {
		t.Run(name, func(t *testing.T) {
			c := serve(t, func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodPost {
					w.Header().Set(InstanceHeader, "p1")
					fmt.Fprint(w, token("own", 0))
					_ = http.NewResponseController(w).Flush()
					panic(http.ErrAbortHandler)
				}
				w.Header().Set(InstanceHeader, second)
				fmt.Fprint(w, token("own", 1), "id: 2\ndata: [DONE]\n\n")
			})
			text, summary, err := generate(c, "ticket")
			if second == "p2" {
				wantFault(t, err, Broken)
				return
			}
			if err != nil || text != "t0 t1 " || summary.Resumes != 1 {
				t.Errorf("got %q, %+v, %v", text, summary, err)
			}
		})
	}
}

func TestSilentStreamIsGivenUp(t *testing.T) {
	stop := make(chan struct{})
	c := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, token("own", 0))
		_ = http.NewResponseController(w).Flush()
		<-stop
	})
	defer close(stop)
	_, _, err := generate(c, "")
	wantFault(t, err, Silent)
}

// TestWhatIsCertainlyNotRun checks the two faults that are called not run.
func TestWhatIsCertainlyNotRun(t *testing.T) {
	busy := serve(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	_, _, err := generate(busy, "")
	wantFault(t, err, Refused)
	l, _ := net.Listen("tcp", "127.0.0.1:0")
	address := l.Addr().String()
	_ = l.Close()
	gone, cleanup := NewClient(plan.Upstream{ID: "gone", Address: address}, testSilence)
	defer cleanup()
	_, _, err = generate(gone, "ticket")
	wantFault(t, err, NotSent)
}

// TestTicketNeverUsesAnOldConnection checks that a request that must not run
// twice opens a connection of its own.
func TestTicketNeverUsesAnOldConnection(t *testing.T) {
	seen := map[string]int{}
	c := serve(t, func(w http.ResponseWriter, r *http.Request) {
		seen[r.RemoteAddr]++
		fmt.Fprint(w, token("own", 0), "id: 1\ndata: [DONE]\n\n")
	})
	for range 3 {
		if _, _, err := generate(c, "ticket"); err != nil {
			t.Fatal(err)
		}
	}
	if len(seen) != 3 {
		t.Errorf("3 requests used %d connections", len(seen))
	}
}

func TestLargeAnswerIsGivenUp(t *testing.T) {
	c := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		for i := range 100000 {
			if _, err := fmt.Fprint(w, token("own", i)); err != nil {
				return
			}
		}
	})
	_, _, err := generate(c, "")
	wantFault(t, err, TooLarge)
}
