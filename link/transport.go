package link

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"mulberrydyke/answer"
)

// checkedConn is a connection to a server whose responses are checked as they are read.
type checkedConn struct {
	net.Conn
	answers *answer.Reader
}

// Read implements net.Conn. It fails with an *answer.MalformedError where a response is malformed, and closes
// the connection, so that no further request is sent.
func (c *checkedConn) Read(p []byte) (int, error) {
	n, err := c.answers.Read(p)
	if c.answers.Err() != nil {
		_ = c.Close()
	}
	return n, err
}

// checkedTransport sends requests over a transport whose connections are of type *checkedConn.
type checkedTransport struct{ transport *http.Transport }

// CheckResponses returns a round tripper that sends requests over a transport and checks the responses.
// It fails with an *answer.MalformedError where one is malformed. Connections are closed there, and where
// bytes follow a response. They are opened with dialer, as DialOrderly does, and must not use TLS.
func CheckResponses(transport *http.Transport, dialer *net.Dialer) http.RoundTripper {
	dial := DialOrderly(dialer)
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &checkedConn{Conn: c, answers: answer.NewReader(c, answer.WithBodies())}, nil
	}
	return &checkedTransport{transport: transport}
}

// sentKey is the key of a context for WithSent.
type sentKey struct{}

// WithSent returns a context for a request that is sent with CheckResponses. Sent is set once there is a
// connection for the request, which may then have been sent.
func WithSent(ctx context.Context, sent *atomic.Bool) context.Context {
	return context.WithValue(ctx, sentKey{}, sent)
}

// RoundTrip implements http.RoundTripper.
func (t *checkedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	var conn *checkedConn
	sent, _ := request.Context().Value(sentKey{}).(*atomic.Bool)
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if sent != nil {
			sent.Store(true)
		}
		if c, ok := info.Conn.(*checkedConn); ok {
			conn = c
			// A failure is met again by the first read.
			_ = c.answers.Expect(request.Method, nil)
		}
	}}
	response, err := t.transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if conn == nil {
		return response, err
	}
	if malformed := conn.answers.Err(); err != nil && malformed != nil {
		return nil, malformed
	}
	return response, err
}

// CloseIdleConnections closes the idle connections. A client of net/http calls it.
func (t *checkedTransport) CloseIdleConnections() { t.transport.CloseIdleConnections() }
