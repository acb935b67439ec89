package edge

import (
	"io"
	"log/slog"
	"sync"
	"time"
)

const (
	// maxPendingLogBytes limits the lines that wait to be written.
	maxPendingLogBytes = 256 << 10
	// logFlushDelay is how long lines are collected before they are written.
	logFlushDelay = 200 * time.Millisecond
)

// logBuffer collects log lines and writes them from a goroutine of its own, so that
// logging never blocks on output. Lines that arrive while it is full are dropped
// and counted.
type logBuffer struct {
	mu  sync.Mutex
	out io.Writer
	// pending holds the lines that wait to be written.
	pending []byte
	// spare is the buffer written last, which is reused for pending.
	spare []byte
	// dropped counts the lines dropped since the last flush.
	dropped int
	// wake signals run that pending is no longer empty.
	wake chan struct{}
	// done is closed when run has returned.
	done chan struct{}
}

// newLogger returns a logger that writes to out, and a cleanup function that flushes
// the pending lines. The logger must not be used after the cleanup.
func newLogger(out io.Writer) (*slog.Logger, func()) {
	b := &logBuffer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go b.run()
	log := slog.New(slog.NewTextHandler(b, nil))
	return log, func() {
		close(b.wake)
		<-b.done
	}
}

// Write adds one line to the buffer. It implements io.Writer and never fails.
func (b *logBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pending)+len(line) > maxPendingLogBytes {
		b.dropped++
		return len(line), nil
	}
	first := len(b.pending) == 0
	b.pending = append(b.pending, line...)
	if first {
		select {
		case b.wake <- struct{}{}:
		default:
		}
	}
	return len(line), nil
}

func (b *logBuffer) run() {
	defer close(b.done)
	for range b.wake {
		time.Sleep(logFlushDelay)
		b.flush()
	}
	b.flush()
}

func (b *logBuffer) flush() {
	b.mu.Lock()
	lines, dropped := b.pending, b.dropped
	b.pending, b.dropped = b.spare[:0], 0
	b.mu.Unlock()
	_, _ = b.out.Write(lines) // a failure of the log's own output can't be logged
	if dropped > 0 {
		slog.New(slog.NewTextHandler(b.out, nil)).Warn("log lines dropped", "count", dropped)
	}
	b.mu.Lock()
	b.spare = lines
	b.mu.Unlock()
}
