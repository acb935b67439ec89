//go:build crowd

package crowd

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// crowdSize is the number of callers in a crowd that sends.
	crowdSize = 64
	// silentCrowdSize is the number of callers in a crowd that only opens connections.
	silentCrowdSize = 1500
	// rounds is how often a caller comes back after its connection was closed.
	rounds = 3
	// stallTimeout is the time after which a caller takes a write that blocks for its last.
	stallTimeout = 3 * time.Second
	// maxBody and maxHead are the limits that callers are told.
	maxBody = 4 << 20
	maxHead = 16 << 10
)

// script is what each caller of a crowd sends: a start, then pieces up to a number of bytes.
type script struct {
	name  string
	size  int
	start string
	// piece returns the i-th piece.
	piece func(i int) []byte
	limit int
}

// repeated returns a piece that is the same each time.
func repeated(piece []byte) func(int) []byte { return func(int) []byte { return piece } }

// chunks returns about 32 KiB of chunks of a size.
func chunks(size int) []byte {
	one := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size))
	return bytes.Repeat([]byte(one), max(1, 32<<10/len(one)))
}

// headerLines returns about 32 KiB of short header lines with different names.
func headerLines(i int) []byte {
	var b bytes.Buffer
	for n := range 4096 {
		fmt.Fprintf(&b, "%x:\r\n", i<<12|n)
	}
	return b.Bytes()
}

// scripts returns the crowds. The start is the head of a valid request up to its last header line.
func scripts(start string) []script {
	filler := bytes.Repeat([]byte("x"), 32<<10)
	chunked := start + "Transfer-Encoding: chunked\r\n\r\n"
	// The framing of chunks of 8 bytes adds 5 bytes to each.
	const smallChunksEnd = (maxBody - 64<<10) / 8 * 13
	return []script{
		{"head in one line without end", crowdSize, start + "Filler: ", repeated(filler), 2 << 20},
		{"head of short lines without end", crowdSize, start, headerLines, 2 << 20},
		{"head over the limit that stays open", crowdSize, start, headerLines, 900 << 10},
		{"empty lines without end", crowdSize, "", repeated(bytes.Repeat([]byte("\r\n"), 16<<10)), 8 << 20},
		{"large chunks that stop short", crowdSize, chunked, repeated(chunks(32 << 10)), maxBody - 64<<10},
		{"small chunks that stop short", crowdSize, chunked, repeated(chunks(8)), smallChunksEnd},
		{"declared body that stops short", crowdSize, fmt.Sprintf("%sContent-Length: %d\r\n\r\n", start, maxBody), repeated(filler), maxBody - 64<<10},
		{"body announced far over the limit", crowdSize, fmt.Sprintf("%sContent-Length: %d\r\n\r\n", start, 1<<40), repeated(filler), 16 << 20},
		{"chunks sent far over the limit", crowdSize, chunked, repeated(chunks(32 << 10)), 16 << 20},
		{"connections that send nothing", silentCrowdSize, "", nil, 0},
	}
}

// crowd holds connections open until it is closed.
type crowd struct {
	mu    sync.Mutex
	conns []net.Conn
}

// send lets all callers of a script send at once, and returns once each of them has sent
// everything, is not read from any more, or has come back several times.
func (c *crowd) send(address string, s script) {
	var wg sync.WaitGroup
	for range s.size {
		wg.Go(func() {
			for round := 0; round < rounds && !c.sendOnce(address, s); round++ {
			}
		})
	}
	wg.Wait()
}

// sendOnce sends over a new connection. It returns false if that was closed before the end.
func (c *crowd) sendOnce(address string, s script) bool {
	conn, err := net.DialTimeout("tcp4", address, stallTimeout)
	if err != nil {
		return false
	}
	c.mu.Lock()
	c.conns = append(c.conns, conn)
	c.mu.Unlock()
	piece := []byte(s.start)
	for i, sent := 0, 0; ; i++ {
		_ = conn.SetWriteDeadline(time.Now().Add(stallTimeout)) // the next write shows a closed connection
		if _, err := conn.Write(piece); err != nil {
			netErr, ok := err.(net.Error)
			return ok && netErr.Timeout()
		}
		if sent >= s.limit {
			return true
		}
		piece = s.piece(i)
		sent += len(piece)
	}
}

// sendAll lets the callers of all scripts send at once.
func (c *crowd) sendAll(address string, scripts []script) {
	var wg sync.WaitGroup
	for _, s := range scripts {
		wg.Go(func() { c.send(address, s) })
	}
	wg.Wait()
}

func (c *crowd) close() {
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}
