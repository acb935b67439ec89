//go:build crowd

package crowd

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// The limits of the hosts under test, which their settings name.
const (
	memoryMB = 112
	maxFDs   = 1000
)

// buildProgram builds a program of the module into a directory of the test.
func buildProgram(t *testing.T, name string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	out, err := exec.Command("go", "build", "-o", path, "mulberrydyke/cmd/"+name).CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v: %s", err, out)
	}
	return path
}

// process is a host under test.
type process struct {
	cmd     *exec.Cmd
	output  *syncBuffer
	exited  chan struct{}
	stop    chan struct{}
	sampled sync.WaitGroup
	// maxOpen is the highest number of open descriptors seen. It is valid once sampled is done.
	maxOpen int
}

// syncBuffer is a buffer that a process writes to while the test reads it.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

// startProcess starts a program and samples its descriptors until the test ends.
func startProcess(t *testing.T, env []string, path string, args ...string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(path, args...), output: &syncBuffer{}, exited: make(chan struct{}), stop: make(chan struct{})}
	p.cmd.Env = env
	p.cmd.Stdout, p.cmd.Stderr = p.output, p.output
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait() // the test checks whether the process lives
		close(p.exited)
	}()
	p.sampled.Go(p.sampleDescriptors)
	t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGKILL) // fails if the process has exited
		<-p.exited
	})
	return p
}

func (p *process) sampleDescriptors() {
	for {
		entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
		p.maxOpen = max(p.maxOpen, len(entries))
		select {
		case <-p.stop:
			return
		case <-p.exited:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// peakMemoryMB returns the highest resident memory of the process.
func (p *process) peakMemoryMB(t *testing.T) int {
	t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(raw), "VmHWM:")
	kb, err := strconv.Atoi(strings.Fields(rest)[0])
	if err != nil {
		t.Fatal(err)
	}
	return kb >> 10
}

// check fails the test unless the process lives and has stayed within its limits.
func (p *process) check(t *testing.T) {
	t.Helper()
	close(p.stop)
	p.sampled.Wait()
	select {
	case <-p.exited:
		t.Fatalf("the process ended: %s", lastLines(p.output.String()))
	default:
	}
	peak := p.peakMemoryMB(t)
	t.Logf("at most %d MB of memory and %d descriptors", peak, p.maxOpen)
	if peak >= memoryMB {
		t.Errorf("%d MB of memory at a time, the machine has %d", peak, memoryMB)
	}
	if p.maxOpen >= maxFDs {
		t.Errorf("%d open descriptors at a time, the limit is %d", p.maxOpen, maxFDs)
	}
}

func lastLines(text string) string { return text[max(0, len(text)-2000):] }
