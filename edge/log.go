package edge

import (
	"io"
	"log/slog"
	"sync"
	"time"
)

const (
	// logBytes bounds the lines that wait to be written.
	logBytes = 256 << 10
	// logPause is how long lines are gathered.
	logPause = 200 * time.Millisecond
)

// logBuffer gathers lines and writes them beside, so that logging never blocks.
// Lines that find it full are counted and left out.
type logBuffer struct {
	mu      sync.Mutex
	out     io.Writer
	waiting []byte
	spare   []byte
	dropped int
	wake    chan struct{}
	done    chan struct{}
}

// newLogger returns a logger that writes to out, and a clean-up function that
// writes what is waiting.
func newLogger(out io.Writer) (*slog.Logger, func()) {
	b := &logBuffer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go b.run()
	log := slog.New(slog.NewTextHandler(b, nil))
	return log, func() {
		close(b.wake)
		<-b.done
	}
}

// Write takes one line.
func (b *logBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiting)+len(line) > logBytes {
		b.dropped++
		return len(line), nil
	}
	first := len(b.waiting) == 0
	b.waiting = append(b.waiting, line...)
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
		time.Sleep(logPause)
		b.flush()
	}
	b.flush()
}

func (b *logBuffer) flush() {
	b.mu.Lock()
	lines, dropped := b.waiting, b.dropped
	b.waiting, b.dropped = b.spare[:0], 0
	b.mu.Unlock()
	_, _ = b.out.Write(lines) // nothing can be said where the log itself fails
	if dropped > 0 {
		slog.New(slog.NewTextHandler(b.out, nil)).Warn("log lines left out", "count", dropped)
	}
	b.mu.Lock()
	b.spare = lines
	b.mu.Unlock()
}
