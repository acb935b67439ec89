package link

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/google/go-cmp/cmp"

	"mulberrydyke/call"
)

// endRounds is the number of exchanges of each kind whose end is checked.
var endRounds = flag.Int("end-rounds", 8, "exchanges of each kind whose end is checked")

// wholeBody is the body of a whole response.
const wholeBody = "the first part, the second part"

// ending is how an upstream ends a response that has no length.
type ending struct {
	// sentBytes is how much of wholeBody it sends.
	sentBytes int
	// bytesRead is how much of the request body it reads before it responds, at the most.
	bytesRead int64
	// end ends the connection.
	end func(c *net.TCPConn)
}

// reset closes a connection with a reset, as the kernel does for a process that is killed while
// bytes are unread.
func reset(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() }

// endInOrder ends a response in order and reads nothing more of the request.
func endInOrder(c *net.TCPConn) { _ = c.CloseWrite(); time.Sleep(20 * time.Millisecond); _ = c.Close() }

// endAndRead ends a response in order and then reads the rest of the request.
func endAndRead(c *net.TCPConn) { _ = c.CloseWrite(); _, _ = io.Copy(io.Discard, c); _ = c.Close() }

// listen starts an upstream with a receive buffer of a size, or of the default one if that is zero. It
// returns its address.
func (e ending) listen(t *testing.T, bufferBytes int) string {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		if bufferBytes == 0 {
			return nil
		}
		return c.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bufferBytes) })
	}}
	listener, err := config.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(c.(*net.TCPConn))
		}
	}()
	return listener.Addr().String()
}

func (e ending) serve(c *net.TCPConn) {
	request, err := http.ReadRequest(bufio.NewReaderSize(c, 1<<10))
	if err != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, request.Body, e.bytesRead)
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n\r\n%s", wholeBody[:e.sentBytes])
	time.Sleep(5 * time.Millisecond) // the response arrives, and the request body fills the buffers
	e.end(c)
}

// plainDialect sends and reads no header of its own.
type plainDialect struct{ call.Dialect }

func (plainDialect) ParseResponse(r *http.Response) call.ResponseHead {
	return call.ResponseHead{Status: r.StatusCode}
}

// exchangeBody sends a request with a body and returns that of the response.
func exchangeBody(ctx context.Context, p *Pool, body []byte) (string, error) {
	c, err := p.Dial(ctx)
	if err != nil {
		return "", err
	}
	x, err := c.Send(ctx, plainDialect{}, &call.Request{Method: http.MethodPost, Target: "/", Host: "h", Body: body}, http.Header{}, time.Time{})
	if err != nil {
		return "", err
	}
	defer x.Close()
	got, err := io.ReadAll(x.Body())
	return string(got), err
}

// clientBody does the same with the standard library's client.
func clientBody(ctx context.Context, address string, body []byte) (string, error) {
	transport := &http.Transport{DialContext: DialOrderly(&net.Dialer{}), DisableKeepAlives: true}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/", bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	response, err := (&http.Client{Transport: transport}).Do(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	got, err := io.ReadAll(response.Body)
	return string(got), err
}

// TestResponseThatIsResetIsNotWhole guards against a part of a response without a length that looks
// whole, because the pending write of a long request body got the error of the reset connection and
// the read saw an ordinary end. A response that ends in order stays whole.
func TestResponseThatIsResetIsNotWhole(t *testing.T) {
	half, whole := len(wholeBody)/2, len(wholeBody)
	for name, x := range map[string]struct {
		ending ending
		whole  bool
	}{
		"reset at the start":            {ending{0, 0, reset}, false},
		"reset in the middle":           {ending{half, 0, reset}, false},
		"reset after the last byte":     {ending{whole, 0, reset}, false},
		"reset while the body is read":  {ending{half, 64 << 10, reset}, false},
		"ended in order, body not read": {ending{whole, 0, endInOrder}, true},
		"ended in order, body read":     {ending{whole, 0, endAndRead}, true},
		"ended in order after the body": {ending{whole, 8 << 20, endAndRead}, true},
	} {
		for _, bodyBytes := range []int{0, 4 << 10, 100_000, 1_000_000, 4_000_000} {
			for _, bufferBytes := range []int{0, 16 << 10} {
				t.Run(fmt.Sprintf("%s, %d bytes, buffer %d", name, bodyBytes, bufferBytes), func(t *testing.T) {
					t.Parallel()
					checkEnds(t, x.ending, bodyBytes, bufferBytes, x.whole)
				})
			}
		}
	}
}

// checkEnds checks for both clients whether responses look whole.
func checkEnds(t *testing.T, e ending, bodyBytes, bufferBytes int, whole bool) {
	address := e.listen(t, bufferBytes)
	pool, cleanup := NewPool(address)
	defer cleanup()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	want, body, wrong := map[string]int{"pool": 0, "client": 0}, make([]byte, bodyBytes), map[string]int{"pool": 0, "client": 0}
	for range *endRounds {
		got, err := exchangeBody(ctx, pool, body)
		if looksWhole := err == nil; looksWhole != whole || whole && got != wholeBody {
			wrong["pool"]++
		}
		got, err = clientBody(ctx, address, body)
		if looksWhole := err == nil; looksWhole != whole || whole && got != wholeBody {
			wrong["client"]++
		}
	}
	if diff := cmp.Diff(want, wrong); diff != "" {
		t.Errorf("wrong in %d rounds: %s", *endRounds, diff)
	}
}

// TestOwnCloseIsNoEnd checks that a response which ends because this host has closed the connection,
// as after the caller has left, does not look whole.
func TestOwnCloseIsNoEnd(t *testing.T) {
	e := ending{len(wholeBody), 0, func(c *net.TCPConn) { time.Sleep(time.Second); _ = c.Close() }}
	pool, cleanup := NewPool(e.listen(t, 0))
	defer cleanup()
	errLeft := errors.New("the caller has left")
	ctx, cancel := context.WithCancelCause(t.Context())
	time.AfterFunc(50*time.Millisecond, func() { cancel(errLeft) })
	if _, err := exchangeBody(ctx, pool, make([]byte, 4_000_000)); err == nil {
		t.Error("the response looks whole")
	}
}
