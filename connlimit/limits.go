// Package connlimit bounds the memory and the file descriptors that untrusted callers can take. When a
// limit is reached it ends the connections that have made no progress for longest, and never one whose
// request is complete. Bodies have to be read with ReadBody, which records when a request is complete.
package connlimit

import "time"

// Limits bounds what all connections of a Limiter take together.
type Limits struct {
	// Conns is the number of open connections.
	Conns int
	// Bytes is the memory for heads and bodies of requests.
	Bytes int64
	// WriteTimeout is the longest time in which a caller takes nothing of an answer. It applies
	// while the handler has set no write deadline. Zero means that there is none.
	WriteTimeout time.Duration
	// BodyTimeout is the time within which a body has to arrive, unless the handler sets another
	// read deadline. Zero means that there is none.
	BodyTimeout time.Duration
	// Encrypted is set if callers use TLS, so that a connection is ended without a plain answer.
	Encrypted bool
}

const (
	// memoryDivisor divides the machine's memory: heads and bodies may take the result, and open
	// connections may take as much again.
	memoryDivisor = 5
	// connBytes is what a connection takes without its request: two buffers of 4 KiB, the stacks of
	// two goroutines, and its part of those that are ending.
	connBytes = 30 << 10
	// endingDivisor divides Limits.Conns: as many connections as the result may be closed while
	// their goroutines have not returned. net/http waits for half a second in some of them.
	endingDivisor = 2
	// heldDivisor divides Limits.Bytes: the handlers of ended connections may still have as much
	// memory as the result before other handlers wait.
	heldDivisor = 4
	// reservedDescriptors are those for files, the store and other hosts.
	reservedDescriptors = 300
	// minConns is the lowest limit of connections that LimitsFor returns, so that a host with few
	// descriptors or little memory still serves.
	minConns = 16
	// defaultWriteTimeout is the default of Limits.WriteTimeout.
	defaultWriteTimeout = 15 * time.Second
	// defaultBodyTimeout is the default of Limits.BodyTimeout.
	defaultBodyTimeout = 30 * time.Second
)

// LimitsFor returns the limits for a machine with the given memory, on which the process may open the
// given number of file descriptors. Zero descriptors mean that no limit is known. Half of those that
// are not reserved are left to connections to upstreams.
func LimitsFor(memoryBytes int64, descriptors int) Limits {
	conns := int(memoryBytes / memoryDivisor / connBytes)
	if descriptors > 0 {
		conns = min(conns, (descriptors-reservedDescriptors)/2)
	}
	return Limits{
		Conns: max(conns, minConns), Bytes: memoryBytes / memoryDivisor,
		WriteTimeout: defaultWriteTimeout, BodyTimeout: defaultBodyTimeout,
	}
}
