package gossip

import (
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"
)

// TestEndlessPeerIsCut checks that a host does not keep the bytes that a peer sends
// without end in place of its lists.
func TestEndlessPeerIsCut(t *testing.T) {
	for name, text := range map[string]string{"zeros": "\x00", "text": "x", "a huge message": "\xf8\x7f\xff\xff\xff\xff\xff\xff\xff"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = listener.Close() })
			sent := make(chan int, 1)
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				total := 0
				for chunk := []byte(strings.Repeat(text, 1<<14)); err == nil; {
					var n int
					n, err = conn.Write(chunk)
					total += n
				}
				sent <- total
			}()
			address := netip.MustParseAddrPort(listener.Addr().String())
			n := &Node{Options: Options{RPCAddr: address}}
			began := time.Now()
			if _, err := n.callFetch(address.Addr(), FetchRequest{Host: "h"}); err == nil {
				t.Error("no error")
			}
			if took := time.Since(began); took > fetchTimeout+time.Second {
				t.Errorf("took %v", took)
			}
			// What is sent beyond the bound stays in the buffers of the connection.
			if got := <-sent; got > maxReplyBytes+(8<<20) {
				t.Errorf("%d MB were taken", got>>20)
			}
		})
	}
}
