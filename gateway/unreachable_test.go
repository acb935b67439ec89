package gateway

import (
	"fmt"
	"net"
	"syscall"
	"testing"

	"mulberrydyke/plan"
)

// reservedPort is a port that is bound and not listened on, so that connections to it are
// refused. A port that is just closed could be given to another listener, or to a connection.
type reservedPort struct {
	net.Listener
	addr net.TCPAddr
}

// Addr implements net.Listener.
func (p *reservedPort) Addr() net.Addr { return &p.addr }

// newEndedStub returns a stub that refuses connections.
func newEndedStub(t *testing.T, id plan.UpstreamID) *stub {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	port := bound.(*syscall.SockaddrInet4).Port
	return &stub{id: id, listener: &reservedPort{addr: net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port}}}
}

// TestOneReachableUpstreamIsFound guards against a request that is refused though an upstream
// would take it, because it was sent to upstreams that refuse connections first.
func TestOneReachableUpstreamIsFound(t *testing.T) {
	const upstreams = 9
	for reachable := range upstreams {
		var stubs []*stub
		for i := range upstreams {
			id := plan.UpstreamID(fmt.Sprintf("u%d", i))
			if i == reachable {
				stubs = append(stubs, newStub(t, id, respond(200, "ok")))
				continue
			}
			stubs = append(stubs, newEndedStub(t, id))
		}
		f := newFixture(t, stubs...)
		if got := f.post("/place/", "x"); got.status != 200 {
			t.Errorf("upstream %d of %d is reachable: status %d, body %q", reachable+1, upstreams, got.status, got.body)
		}
	}
}
