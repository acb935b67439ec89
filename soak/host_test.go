package soak

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"mulberrydyke/fault"
)

// Ports of every host, the same on all.
const (
	callerPort   = 8740
	peerPort     = 8748
	readyPort    = 8749
	internalPort = 7200
)

// stopTime is how long after SIGTERM a host is killed.
const stopTime = 8 * time.Second

// program is the host's program, built once.
var program = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "entryhost")
	out, err := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", path, "mulberrydyke/cmd/entryhost").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w: %s", err, out)
	}
	return path, nil
})

// host is one entry host, which is started again and again.
type host struct {
	name, ip, domain string
	dir              string
	seeds            []string
	// store is the host's own way to the store.
	store   *fault.Proxy
	cleanup func()

	mu      sync.Mutex
	command *exec.Cmd
	// exited is closed once the present process has ended, and reaped.
	exited chan struct{}
	// starts counts the processes.
	starts int
	// log is the file that the present process writes its log to.
	log string
	// stopped is when the present process got SIGTERM.
	stopped time.Time
	// told says that the soak ended the process or told it to end.
	told bool
	// crashed holds how processes ended by themselves.
	crashed []string
	// ready is what the balancer knows: whether the host takes requests.
	ready  bool
	misses int
}

func newHost(name, ip, domain, dir, store string, seeds []string) (*host, error) {
	h := &host{name: name, ip: ip, domain: domain, dir: dir, seeds: seeds}
	var err error
	h.store, h.cleanup, err = fault.NewProxy(store)
	return h, err
}

// writeSettings writes the settings file. Extra is the repeats that all hosts
// may add.
func (h *host) writeSettings(extra int) error {
	text := fmt.Sprintf(`nodeName = %q
ip = %q
zone = %q
region = "r"
internalPorts = [%d,%d]
seeds = ["%s"]
[zones]
a = "r"
b = "r"
c = "r"
[listen]
front = "%s:%d"
ready = "%s:%d"
control = "%s:%d"
[limits]
cores = 1
memoryMb = 200
[bounds]
graceS = %g
configApplyMs = 2000
retryBudgetRatio = %g
retryWindowS = 10
retryBudgetExtra = %d
reuseWindowS = 8
[platform]
address = %q
`, h.name, h.ip, h.domain, internalPort, internalPort+15, strings.Join(h.seeds, `","`), h.ip, callerPort, h.ip, readyPort,
		h.ip, peerPort, stopTime.Seconds(), retryRatio, extra, h.store.Address())
	// Written beside and renamed, so that no host reads a half file.
	path := filepath.Join(h.dir, h.name+".toml")
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// start starts a process. Its log goes to a file of the run.
func (h *host) start() error {
	path, err := program()
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.starts++
	h.log = filepath.Join(h.dir, fmt.Sprintf("%s-%d.log", h.name, h.starts))
	log, err := os.Create(h.log)
	if err != nil {
		return err
	}
	defer log.Close()
	c := exec.Command(path)
	c.Env = []string{"MULBERRYDYKE_BOOT=" + filepath.Join(h.dir, h.name+".toml")}
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.command, h.exited, h.told, h.stopped, h.ready, h.misses = c, exited, false, time.Time{}, false, 0
	go func() {
		err := c.Wait()
		h.mu.Lock()
		if !h.told {
			h.crashed = append(h.crashed, fmt.Sprintf("%s, start %d: %v", h.name, h.starts, err))
		}
		h.ready = false
		h.mu.Unlock()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the present process, unless it has ended.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.exited:
		return
	default:
	}
	switch s {
	case syscall.SIGHUP:
		if !h.running() {
			return
		}
	case syscall.SIGKILL:
		h.told = true
	case syscall.SIGTERM:
		h.told = true
		if h.stopped.IsZero() {
			h.stopped = time.Now()
		}
	}
	_ = h.command.Process.Signal(s) // a process that has just ended needs none
}

// running says whether the process has got to its own code, which its log shows.
// Before that, while the system loads it, no program can take a signal; it reads
// its settings afterwards.
func (h *host) running() bool {
	info, err := os.Stat(h.log)
	return err == nil && info.Size() > 0
}

// end waits until the process has ended, and kills it after a span.
func (h *host) end(span time.Duration) {
	h.mu.Lock()
	exited := h.exited
	h.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(span):
		h.signal(syscall.SIGKILL)
		<-exited
	}
}

// poll asks once whether the host is ready, as a balancer does: two answers in a
// row other than 200 take it out.
func (h *host) poll(client *http.Client) {
	response, err := client.Get(fmt.Sprintf("http://%s:%d/ready", h.ip, readyPort))
	ok := err == nil && response.StatusCode == http.StatusOK
	if err == nil {
		_ = response.Body.Close()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if ok {
		h.misses = 0
		h.ready = true
		return
	}
	h.misses++
	if h.misses >= 2 {
		h.ready = false
	}
}

// state returns whether the balancer sends callers here, and which start it is.
func (h *host) state() (ready bool, start int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ready, h.starts
}

// stoppedAt returns when the present process was told to stop, or zero.
func (h *host) stoppedAt() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stopped
}
