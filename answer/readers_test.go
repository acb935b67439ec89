package answer_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulberrydyke/call"
	"mulberrydyke/catalog"
	"mulberrydyke/link"
	"mulberrydyke/load"
	"mulberrydyke/plan"
	"mulberrydyke/platform"
	"mulberrydyke/registry"
	"mulberrydyke/route"
	"mulberrydyke/standin"
	"mulberrydyke/upstream"
)

// server responds to all requests with the same head, and records their paths.
type server struct {
	address string
	paths   chan string
}

// startServer starts a server that responds with a head, to which it adds fields, and a body.
func startServer(t *testing.T, c headCase, fields, body string) server {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := server{address: listener.Addr().String(), paths: make(chan string, 64)}
	response := c.response(fields, body)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn, response)
		}
	}()
	return s
}

// serve responds to one request and ends the connection in order.
func (s server) serve(conn net.Conn, response string) {
	defer conn.Close()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case s.paths <- r.URL.Path:
	default:
	}
	_, _ = io.WriteString(conn, response)
}

// response returns the whole response of a case, with more fields.
func (c headCase) response(fields, body string) string {
	frame := c.frame
	if frame == nil {
		frame = plain("Content-Length: %d")
	}
	return strings.TrimSuffix(c.head, "\r\n") + "\r\n" + fields + frame(body)
}

// errNotBelieved reports a response that was not believed, by a reader that tells no error.
var errNotBelieved = errors.New("not believed")

// responseReader is one of the places where responses are read.
type responseReader struct {
	name string
	// fields and body make a response that the reader believes.
	fields, body string
	// read sends a request and reads the response. It fails if the response is not believed.
	read func(t *testing.T, s server) error
}

// responseReaders returns all places where a host, or a tool of the project, reads responses.
func responseReaders() []responseReader {
	const event = "id: 0\ndata: {\"id\":\"own\",\"choices\":[]}\n\nid: 1\ndata: [DONE]\n\n"
	return []responseReader{
		{"requests of the users' platform", "Request-Id: own\r\nResponse-Seal: s\r\n", "whole", readForwarded},
		{"calls of plain services", "X-Request-Id: own\r\n", "whole", readCall},
		{"calls that must not run twice", "X-Request-Id: own\r\n", "whole", readTicketCall},
		{"streams of engines", "X-Instance: p1\r\n", event, readGenerated},
		{"load reports", "", "{}", readLoadReport},
		{"published lists", "X-Index: 1\r\n", "{}", readList},
		{"the platform's store", "", `{"items":[],"asOf":4,"truncated":false}`, readStore},
		{"the load tool", "", "data: {\"choices\":[{\"delta\":{\"content\":\"" + standin.TokenText(standin.ContentHash("p"), 0) + "\"}}]}\n\ndata: [DONE]\n\n", readLoad},
	}
}

func readForwarded(t *testing.T, s server) error {
	pool, cleanup := link.NewPool(s.address)
	defer cleanup()
	conn, err := pool.Dial(t.Context())
	if err != nil {
		return err
	}
	request := &call.Request{ID: "own", Method: http.MethodPost, Target: "/", Host: "h", Body: []byte("b")}
	x, err := conn.Send(t.Context(), platform.Dialect{}, request, http.Header{}, time.Time{})
	if err != nil {
		return err
	}
	defer x.Close()
	_, err = io.ReadAll(x.Body())
	return err
}

// newUpstreamClient returns a client for a server.
func newUpstreamClient(t *testing.T, s server) *upstream.Client {
	c, cleanup := upstream.NewClient(plan.Upstream{ID: plan.UpstreamID(t.Name()), Address: s.address}, 5*time.Second)
	t.Cleanup(cleanup)
	return c
}

func readCall(t *testing.T, s server) error {
	request := upstream.Request{ID: "own", Method: http.MethodPost, Path: "/", Body: []byte("b")}
	_, err := newUpstreamClient(t, s).Call(t.Context(), request, 1<<20)
	return checkMayHaveRun(t, err)
}

func readTicketCall(t *testing.T, s server) error {
	request := upstream.Request{ID: "own", Method: http.MethodPost, Path: "/", Body: []byte("b"), Ticket: "t"}
	_, err := newUpstreamClient(t, s).Call(t.Context(), request, 1<<20)
	return checkMayHaveRun(t, err)
}

func readGenerated(t *testing.T, s server) error {
	request := upstream.Request{ID: "own", Method: http.MethodPost, Path: "/", Body: []byte("b")}
	sink := func(upstream.Event) error { return nil }
	_, err := newUpstreamClient(t, s).Generate(t.Context(), request, 1<<20, func(time.Duration) {}, sink)
	return checkMayHaveRun(t, err)
}

// checkMayHaveRun checks that an error of a client claims no more than is known: that the request may
// have run.
func checkMayHaveRun(t *testing.T, err error) error {
	var e *upstream.Error
	if errors.As(err, &e) && (e.NotRun() || e.Fault != upstream.Broken) {
		t.Errorf("fault %s", e.Fault)
	}
	return err
}

func readLoadReport(t *testing.T, s server) error {
	_, err := newUpstreamClient(t, s).LoadReport(t.Context())
	return err
}

func readList(t *testing.T, s server) error {
	c, cleanup := registry.NewClient([]string{s.address})
	defer cleanup()
	_, err := c.Read(t.Context(), plan.KindPlans)
	return err
}

// storeReceiver is a platform.Receiver that receives nothing.
type storeReceiver struct{}

func (storeReceiver) TableUpdated(*route.Table, time.Duration) {}
func (storeReceiver) UpstreamsUpdated(*route.Upstreams)        {}
func (storeReceiver) Synced()                                  {}

// readStore reports by what a reader asks for after its first read whether it believed that.
func readStore(t *testing.T, s server) error {
	r, cleanup := platform.NewReader(netip.MustParseAddrPort(s.address), time.Second, storeReceiver{}, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.Run(ctx)
	}()
	defer func() { cancel(); <-done; cleanup() }()
	r.SetDuty(catalog.ReadDuty{MustRead: true, First: true})
	first, second := <-s.paths, <-s.paths
	if first == second {
		return errNotBelieved
	}
	return nil
}

func readLoad(t *testing.T, s server) error {
	c, cleanup := load.NewClient()
	defer cleanup()
	result := c.Send(t.Context(), s.address, "m", load.Arrival{Prompt: "p", OutputTokens: 1})
	if result.Code != "" || result.Corrupt {
		return errNotBelieved
	}
	return nil
}

// TestReadersCheckWhoseResponseItIs guards against responses whose owner or version is given twice.
func TestReadersCheckWhoseResponseItIs(t *testing.T) {
	twice := map[string]string{
		"requests of the users' platform": "Request-Id: other\r\n",
		"calls of plain services":         "X-Request-Id: other\r\n",
		"calls that must not run twice":   "x-request-id: own\r\n",
		"streams of engines":              "X-Instance: p2\r\n",
		"load reports":                    "X-Instance: p1\r\nX-Instance: p2\r\n",
		"published lists":                 "X-Index: 2\r\n",
		"the platform's store":            "Store-Era: 1\r\nStore-Era: 2\r\n",
	}
	for _, reader := range responseReaders() {
		if twice[reader.name] == "" {
			continue // tells nothing of the kind
		}
		t.Run(reader.name, func(t *testing.T) {
			if err := reader.read(t, startServer(t, headCase{head: ok}, reader.fields+twice[reader.name], reader.body)); err == nil {
				t.Error("believed")
			}
		})
	}
}

// TestEveryReaderChecksHeads guards against a place that reads responses without the check of their heads.
func TestEveryReaderChecksHeads(t *testing.T) {
	for _, reader := range responseReaders() {
		for _, c := range headCases() {
			if c.want == "" && !strings.Contains(c.head, " 200") {
				continue
			}
			t.Run(reader.name+", "+c.name, func(t *testing.T) {
				t.Parallel()
				err := reader.read(t, startServer(t, c, reader.fields, reader.body))
				if diff := cmp.Diff(c.want == "", err == nil); diff != "" {
					t.Errorf("believed: %s, error %v", diff, err)
				}
			})
		}
	}
}
