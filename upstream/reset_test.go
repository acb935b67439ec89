package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"mulberrydyke/plan"
)

// TestResponseThatIsResetIsBroken guards against calls that return a part of a response without a
// length as the whole one, because the connection was reset while a long request body was being sent.
func TestResponseThatIsResetIsBroken(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go respondAndReset(conn.(*net.TCPConn))
		}
	}()
	c, cleanup := NewClient(plan.Upstream{ID: "u", Address: listener.Addr().String()}, 5*time.Second)
	defer cleanup()
	const rounds, bodyBytes = 8, 16 << 20
	for i := range rounds {
		response, err := c.Call(t.Context(), Request{ID: fmt.Sprint(i), Method: http.MethodPost, Path: "/", Body: make([]byte, bodyBytes)}, 1<<20)
		var broken *Error
		if !errors.As(err, &broken) || broken.NotRun() {
			t.Errorf("round %d: body %q, error %v", i, response.Body, err)
		}
	}
}

// respondAndReset sends a part of a response before it has read the request, and resets the connection.
func respondAndReset(conn *net.TCPConn) {
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nhalf an ans")
	time.Sleep(20 * time.Millisecond) // the response arrives
	_ = conn.SetLinger(0)
	_ = conn.Close()
}
