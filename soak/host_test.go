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

// The ports that every host listens on, each at its own IP address.
const (
	callerPort   = 8740
	peerPort     = 8748
	readyPort    = 8749
	internalPort = 7200
)

// gracePeriod is the time within which a host must exit after SIGTERM, as its setting
// graceS says.
const gracePeriod = 8 * time.Second

// hostBinary builds the entryhost program once and returns its path.
var hostBinary = sync.OnceValues(func() (string, error) {
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

// host is one entry host. Its process is restarted during a run.
type host struct {
	name, ip, domain string
	dir              string
	seedAddresses    []string
	// storeProxy is the host's own proxy to the store.
	storeProxy *fault.Proxy
	closeProxy func()

	mu  sync.Mutex
	cmd *exec.Cmd
	// exited is closed once the current process has exited and been reaped.
	exited chan struct{}
	// starts counts the processes started so far.
	starts int
	// logPath is the log file of the current process.
	logPath string
	// sigtermAt is when the current process first got SIGTERM, or zero.
	sigtermAt time.Time
	// exitExpected reports whether the test sent the current process SIGTERM or SIGKILL.
	exitExpected bool
	// unexpectedExits describes exits that the test did not cause.
	unexpectedExits []string
	// ready reports whether the load balancer considers the host ready.
	ready bool
	// failedPolls counts consecutive failed readiness polls.
	failedPolls int
}

// newHost returns a host that is not started yet, with its own proxy to the store.
func newHost(name, ip, domain, dir, storeAddress string, seedAddresses []string) (*host, error) {
	h := &host{name: name, ip: ip, domain: domain, dir: dir, seedAddresses: seedAddresses}
	var err error
	h.storeProxy, h.closeProxy, err = fault.NewProxy(storeAddress)
	return h, err
}

// writeSettings writes the settings file. The argument is the retryBudgetExtra setting,
// the number of retries allowed beyond the retry ratio, summed over all hosts.
func (h *host) writeSettings(budgetExtra int) error {
	settings := fmt.Sprintf(`nodeName = %q
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
evacuateMs = 5000
coldOvershoot = 1.5
coldSlack = 5
[platform]
address = %q
`, h.name, h.ip, h.domain, internalPort, internalPort+15, strings.Join(h.seedAddresses, `","`), h.ip, callerPort, h.ip, readyPort,
		h.ip, peerPort, gracePeriod.Seconds(), retryRatio, budgetExtra, h.storeProxy.Address())
	// Write to a temporary file and rename it, so that the host never reads a partial
	// file.
	path := filepath.Join(h.dir, h.name+".toml")
	if err := os.WriteFile(path+".new", []byte(settings), 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// start starts a new process, which logs to a new file in the directory of the run.
func (h *host) start() error {
	path, err := hostBinary()
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.starts++
	h.logPath = filepath.Join(h.dir, fmt.Sprintf("%s-%d.log", h.name, h.starts))
	logFile, err := os.Create(h.logPath)
	if err != nil {
		return err
	}
	defer logFile.Close()
	cmd := exec.Command(path)
	cmd.Env = []string{"MULBERRYDYKE_BOOT=" + filepath.Join(h.dir, h.name+".toml")}
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.cmd, h.exited, h.exitExpected, h.sigtermAt, h.ready, h.failedPolls = cmd, exited, false, time.Time{}, false, 0
	go func() {
		err := cmd.Wait()
		h.mu.Lock()
		if !h.exitExpected {
			h.unexpectedExits = append(h.unexpectedExits, fmt.Sprintf("%s, start %d: %v", h.name, h.starts, err))
		}
		h.ready = false
		h.mu.Unlock()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the current process unless it has exited. It skips SIGHUP
// until the process is initialized.
func (h *host) signal(sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.exited:
		return
	default:
	}
	switch sig {
	case syscall.SIGHUP:
		if !h.initialized() {
			return
		}
	case syscall.SIGKILL:
		h.exitExpected = true
	case syscall.SIGTERM:
		h.exitExpected = true
		if h.sigtermAt.IsZero() {
			h.sigtermAt = time.Now()
		}
	}
	_ = h.cmd.Process.Signal(sig) // fails only if the process has just exited
}

// initialized reports whether the process has written its first log line. Before that,
// while the system is still loading the program, no signal handler is installed and
// SIGHUP would kill the process. A skipped SIGHUP loses nothing, since the process reads
// its settings only after it has been loaded.
func (h *host) initialized() bool {
	info, err := os.Stat(h.logPath)
	return err == nil && info.Size() > 0
}

// awaitExit waits until the process has exited, and kills it after the timeout.
func (h *host) awaitExit(timeout time.Duration) {
	h.mu.Lock()
	exited := h.exited
	h.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(timeout):
		h.signal(syscall.SIGKILL)
		<-exited
	}
}

// pollReadiness polls the readiness endpoint once, as a load balancer does: two
// consecutive failures mark the host as not ready.
func (h *host) pollReadiness(client *http.Client) {
	response, err := client.Get(fmt.Sprintf("http://%s:%d/ready", h.ip, readyPort))
	ok := err == nil && response.StatusCode == http.StatusOK
	if err == nil {
		_ = response.Body.Close()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if ok {
		h.failedPolls = 0
		h.ready = true
		return
	}
	h.failedPolls++
	if h.failedPolls >= 2 {
		h.ready = false
	}
}

// balancerState returns whether the load balancer sends callers to the host, and how
// many processes have been started so far, which is the number of the current one.
func (h *host) balancerState() (ready bool, startNumber int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ready, h.starts
}

// stoppedAt returns when the current process first got SIGTERM, or zero.
func (h *host) stoppedAt() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sigtermAt
}
