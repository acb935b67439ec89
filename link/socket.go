package link

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// TCPUserTimeout returns a function for net.Dialer.Control that closes a connection
// whose sent bytes are not acknowledged within the span.
func TCPUserTimeout(span time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(span.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failed
	}
}

// idle says whether a connection that waits for its next request is as it was
// left: not closed by the other end, and without unread bytes.
func idle(c syscall.Conn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var buffer [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}
