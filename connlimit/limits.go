// Package connlimit bounds the memory and the descriptors that callers take whom nobody controls.
// When a bound is reached it ends the connections that have made no progress for longest, and never
// one whose request is complete.
package connlimit

import "time"

// Limits bounds what all connections of a Limiter take together.
type Limits struct {
	// Conns is the number of open connections.
	Conns int
	// Bytes is the memory for heads and bodies of requests.
	Bytes int64
	// WriteTimeout is the longest time in which a caller takes nothing of an answer. Zero means
	// that the handler sets its own deadlines.
	WriteTimeout time.Duration
	// BodyTimeout is the time in which a body has to come, unless the handler sets another. Zero
	// means that there is none.
	BodyTimeout time.Duration
	// Encrypted is set if callers use TLS, so that a connection is ended without a plain answer.
	Encrypted bool
}

const (
	// memoryFraction is the part of the machine's memory that heads and bodies may take, and
	// that connections may take besides: 1 divided by it.
	memoryFraction = 5
	// connBytes is what a connection takes without its request: two buffers of 4 KiB, the stacks of
	// two goroutines, and its part of those that are ending.
	connBytes = 30 << 10
	// endingFraction limits the connections that were closed and whose goroutines have not
	// returned, as 1 divided by it of the open ones. net/http waits for half a second in some.
	endingFraction = 2
	// heldFraction limits the memory that the handlers of ended connections still have, as 1
	// divided by it of Limits.Bytes.
	heldFraction = 4
	// reservedDescriptors are those for files, the store and other hosts.
	reservedDescriptors = 300
	// minConns is the lowest limit of connections.
	minConns = 16
	// defaultWriteTimeout is the default of Limits.WriteTimeout.
	defaultWriteTimeout = 15 * time.Second
	// defaultBodyTimeout is the default of Limits.BodyTimeout.
	defaultBodyTimeout = 30 * time.Second
)

// LimitsFor returns the limits for a machine with the given memory on which the process may have a
// number of descriptors, or any number if that is zero. Half of the descriptors are left to
// connections to upstreams.
func LimitsFor(memoryBytes int64, descriptors int) Limits {
	conns := int(memoryBytes / memoryFraction / connBytes)
	if descriptors > 0 {
		conns = min(conns, (descriptors-reservedDescriptors)/2)
	}
	return Limits{
		Conns: max(conns, minConns), Bytes: memoryBytes / memoryFraction,
		WriteTimeout: defaultWriteTimeout, BodyTimeout: defaultBodyTimeout,
	}
}
