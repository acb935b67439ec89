package link

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// ackPollInterval is the time between two looks at what the other end of a connection
// has acknowledged.
const ackPollInterval = 100 * time.Millisecond

// minLostProbes is the number of probes of a full window in a row whose loss shows that
// the other end is gone. A single one may be unanswered, since kernels limit how often they
// answer those.
const minLostProbes = 2

// errUnacknowledged reports a connection whose other end acknowledged nothing for
// ackTimeout.
var errUnacknowledged = errors.New("no acknowledgement from the other end")

// sendState is what the kernel tells of the bytes that were written to a connection.
type sendState struct {
	// unacked is the number of segments that are sent and not acknowledged, unsent
	// the number of bytes that wait for room at the other end.
	unacked, unsent uint32
	// probes is the number of probes of the other end's window, or of the
	// connection, that were not acknowledged.
	probes uint8
	// sinceAck is the time since the last acknowledgement of anything.
	sinceAck time.Duration
}

// waitsForRoom reports whether the other end has acknowledged all that it had room for, as
// far as the kernel knows, and more is to be sent.
func (s sendState) waitsForRoom() bool { return s.unacked == 0 && s.unsent > 0 }

// allAcknowledged reports whether the other end has got all that was written.
func (s sendState) allAcknowledged() bool { return s.unacked == 0 && s.unsent == 0 && s.probes == 0 }

// readTCPInfo returns what the kernel tells of a connection. It fails if this host has closed the
// connection or if the kernel does not tell.
func readTCPInfo(c *net.TCPConn) (*unix.TCPInfo, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, err
	}
	var info *unix.TCPInfo
	var sockErr error
	err = raw.Control(func(fd uintptr) {
		info, sockErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	return info, errors.Join(err, sockErr)
}

// readSendState returns the state of a connection. It fails as readTCPInfo does.
func readSendState(c *net.TCPConn) (sendState, error) {
	info, err := readTCPInfo(c)
	if err != nil {
		return sendState{}, err
	}
	return sendState{
		unacked: info.Unacked, unsent: info.Notsent_bytes, probes: info.Probes,
		sinceAck: time.Duration(info.Last_ack_recv) * time.Millisecond,
	}, nil
}

// ackWatch decides whether the other end of a connection is gone. One that acknowledges
// but has no room for more is not.
type ackWatch struct {
	// awaitedSince is when an acknowledgement was first seen to be due, or zero.
	awaitedSince time.Time
	// checkedAt is when the other end was last found reachable.
	checkedAt time.Time
}

// ackVerdict is what an ackWatch has found.
type ackVerdict int

const (
	// ackInTime means that nothing is overdue.
	ackInTime ackVerdict = iota
	// ackOverdue means that the other end is gone.
	ackOverdue
	// ackUnknown means that the other end has no room and acknowledged nothing for
	// ackTimeout, in which the kernel may have sent no probe. Only a new connection can
	// tell.
	ackUnknown
)

// update takes the state of the connection into account.
func (w *ackWatch) update(now time.Time, s sendState) ackVerdict {
	if s.allAcknowledged() {
		w.awaitedSince = time.Time{}
		return ackInTime
	}
	if w.awaitedSince.IsZero() {
		w.awaitedSince = now
	}
	if min(s.sinceAck, now.Sub(w.awaitedSince)) < ackTimeout {
		return ackInTime
	}
	if s.unacked > 0 || s.probes >= minLostProbes {
		return ackOverdue
	}
	if now.Sub(w.checkedAt) < ackTimeout {
		return ackInTime
	}
	w.checkedAt = now
	return ackUnknown
}

// bodyMonitor closes a connection whose other end is gone while a long body waits for room
// there. For that time it takes the place of the kernel's user timeout, which also ends
// connections whose other end acknowledges everything but reads late.
type bodyMonitor struct {
	conn *net.TCPConn
	// unreachable reports whether the other end takes no new connection.
	unreachable func() bool
	// began is when the body was begun.
	began time.Time
	// written is closed when the kernel has taken the whole body, or the connection
	// has failed.
	written <-chan struct{}
	// lost is set before the connection is closed because of errUnacknowledged.
	lost  atomic.Bool
	timer *time.Timer
	// mu guards ended and inCharge.
	mu sync.Mutex
	// ended is set when the exchange is over, inCharge while the user timeout is off.
	ended, inCharge bool
}

// begin starts the monitor if the body has not arrived within half of ackTimeout, after
// which the user timeout may end the connection. Most bodies arrive sooner.
func (m *bodyMonitor) begin() {
	m.timer = time.AfterFunc(ackTimeout/2, m.watch)
}

// end ends the monitor after a complete exchange. It reports whether the connection can
// be used again, which it can't while part of the body waits for room.
func (m *bodyMonitor) end() bool {
	if m == nil {
		return true
	}
	m.timer.Stop()
	m.mu.Lock()
	m.ended = true
	m.mu.Unlock()
	m.setInCharge(false)
	s, err := readSendState(m.conn)
	return err != nil || s.unsent == 0
}

// setInCharge switches the user timeout off while the monitor is in charge, and on again.
// It reports false if the exchange is over or the connection is closed.
func (m *bodyMonitor) setInCharge(inCharge bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ended && inCharge {
		return false
	}
	if m.inCharge == inCharge {
		return true
	}
	m.inCharge = inCharge
	timeout := ackTimeout
	if inCharge {
		timeout = 0
	}
	return setUserTimeout(m.conn, timeout) == nil
}

// watch watches the connection until it is closed, until the other end has got the body,
// or until the exchange is over.
func (m *bodyMonitor) watch() {
	defer m.setInCharge(false)
	ticker := time.NewTicker(ackPollInterval)
	defer ticker.Stop()
	watch := ackWatch{awaitedSince: m.began}
	for now := time.Now(); ; now = <-ticker.C {
		s, err := readSendState(m.conn)
		if err != nil || m.arrived(s) || !m.setInCharge(s.waitsForRoom()) {
			return
		}
		if verdict := watch.update(now, s); verdict == ackOverdue || verdict == ackUnknown && m.unreachable() {
			m.lost.Store(true)
			_ = m.conn.Close()
			return
		}
	}
}

// arrived reports whether the other end has got the whole body.
func (m *bodyMonitor) arrived(s sendState) bool {
	select {
	case <-m.written:
		return s.allAcknowledged()
	default:
		return false
	}
}

// cause returns errUnacknowledged if the monitor has closed the connection, else err.
func (m *bodyMonitor) cause(err error) error {
	if m != nil && m.lost.Load() {
		return errUnacknowledged
	}
	return err
}
