//go:build review

// Package lab plays case 10 of the review, and case 8 as a script, against the project's own entryhost
// processes, with small stand-ins for the platform's store, the runners and the clients. It holds no tests: it is built as
// a program of its own by build-2.sh, and consists of test files since they use the platform's names.
package lab

import (
	"fmt"
	"os"
	"sync"
	"testing"
	"time"
)

// Exit codes.
const (
	exitHeld = iota
	exitBroken
	exitCouldNotRun
)

// defaultMemoryMB is the memory of a machine of Blue Mahoe.
const defaultMemoryMB = 134

// recorder writes what was sent, answered and run to the record of a case.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// printf writes one line with the time since the start of the case.
func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// world holds all that a case starts.
type world struct {
	record  *recorder
	trouble bool
	dir     string
	store   *store
	hosts   []*host
	// memoryMB is the memory of a machine in the settings.
	memoryMB int
}

// cases maps the names of the cases to functions that play them. Each returns how often
// the rule was broken.
var cases = map[string]func(*world) (int, error){
	"departure": playDeparture,
	"memory":    playMemory,
}

// TestMain plays the case that the first argument names, and writes its record to the second. It exits
// with 1 if the rule of the case was broken, with 0 if it held and with 2 if the case could not run.
// Without such arguments there is nothing to run.
func TestMain(m *testing.M) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		os.Exit(m.Run())
	}
	broken, err := play(cases[os.Args[1]], os.Args[2])
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "review:", err)
		os.Exit(exitCouldNotRun)
	case broken > 0:
		fmt.Printf("the rule was broken %d times\n", broken)
		os.Exit(exitBroken)
	}
	fmt.Println("the rule held")
	os.Exit(exitHeld)
}

// play plays a case and ends all processes that it has started.
func play(run func(*world) (int, error), path string) (int, error) {
	file, err := os.Create(path)
	if err != nil {
		return 0, err
	}
	defer file.Close()
	dir, err := os.MkdirTemp("", "lab-3-")
	if err != nil {
		return 0, err
	}
	defer os.RemoveAll(dir)
	w := &world{record: &recorder{file: file, start: time.Now()}, trouble: os.Getenv("TROUBLE") != "0", dir: dir, store: newStore(), memoryMB: defaultMemoryMB}
	defer w.stopHosts()
	w.record.printf("case begins, disruption: %v", w.trouble)
	broken, err := run(w)
	w.record.printf("case ends, the rule was broken %d times, error: %v", broken, err)
	return broken, err
}
