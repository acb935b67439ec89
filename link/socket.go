package link

import (
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// TCPUserTimeout returns a function for net.Dialer.Control that sets the option
// TCP_USER_TIMEOUT: the kernel closes a connection whose sent bytes are not
// acknowledged within the timeout.
func TCPUserTimeout(timeout time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		return controlUserTimeout(c, timeout)
	}
}

// setUserTimeout changes the option TCP_USER_TIMEOUT of a connection. Zero selects the
// system's default.
func setUserTimeout(c syscall.Conn, timeout time.Duration) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	return controlUserTimeout(raw, timeout)
}

func controlUserTimeout(c syscall.RawConn, timeout time.Duration) error {
	var sockErr error
	err := c.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	return errors.Join(err, sockErr)
}

// isIdle reports whether a connection is still open at the other end and has no
// unread bytes, so that it can carry another request.
func isIdle(c syscall.Conn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	var buffer [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = err == unix.EAGAIN
		return true
	})
	return err == nil && empty
}
