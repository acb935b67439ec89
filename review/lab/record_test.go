//go:build review

package lab

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file to which a case writes what was sent, answered and run. Times are seconds
// since its start.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, started: time.Now()}, nil
}

func (r *record) printf(format string, args ...any) { r.printAt(time.Now(), format, args...) }

func (r *record) printAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", at.Sub(r.started).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() { _ = r.file.Close() }
