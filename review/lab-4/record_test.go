//go:build review

package lab

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is what a case saw, line by line, in the order in which it was seen.
type record struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
}

// newRecord creates the record of a case.
func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: file}, nil
}

// add writes one line with the seconds since the case began.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to the standard output.
func (r *record) say(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) close() { _ = r.file.Close() }
