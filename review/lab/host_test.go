//go:build review

package lab

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// hostProgram is the program that the deploy file runs, relative to the project's root.
const hostProgram = "target/entryhost"

// Bounds of the deployment, as on the sheet of the label desk.
const (
	drainTime  = 2 * time.Second
	applyTime  = 2 * time.Second
	touchTime  = 3 * time.Second
	graceTime  = 8 * time.Second
	zoneRegion = "kingston"
)

// host is one process of the system.
type host struct {
	name, zone, ip string
	ports          portPlan
	settings       string
	dir            string
	starts         int
	cmd            *exec.Cmd
	exited         chan struct{}
}

// portPlan holds the ports of all hosts. They are the same on each.
type portPlan struct{ front, control, ready, internal int }

// fleet is a set of hosts that share a store.
type fleet struct {
	rec   *record
	dir   string
	store *store
	hosts []*host
}

// freePorts finds ports that are free at all given addresses.
func freePorts(ips []string) (portPlan, error) {
	for range 200 {
		base := 20000 + 64*rand.IntN(180)
		if allFree(ips, base) {
			return portPlan{front: base, control: base + 8, ready: base + 9, internal: base + 20}, nil
		}
	}
	return portPlan{}, fmt.Errorf("no free ports")
}

func allFree(ips []string, base int) bool {
	for _, ip := range ips {
		for _, offset := range []int{0, 8, 9, 20, 21} {
			listener, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, base+offset))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

// newFleet starts hosts: zones[i] is the zone of host i.
func newFleet(rec *record, s *store, zones []string) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, dir: dir, store: s}
	second := 64 + rand.IntN(128)
	var ips []string
	for i := range zones {
		ips = append(ips, fmt.Sprintf("127.%d.7.%d", second, i+1))
	}
	ports, err := freePorts(ips)
	if err != nil {
		return nil, err
	}
	seeds := fmt.Sprintf("%q", fmt.Sprintf("%s:%d", ips[0], ports.control))
	if n := len(ips); n > 1 {
		seeds += fmt.Sprintf(",%q", fmt.Sprintf("%s:%d", ips[n-1], ports.control))
	}
	for i, zone := range zones {
		h := &host{name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, ip: ips[i], ports: ports, dir: dir}
		h.settings = filepath.Join(dir, h.name+".toml")
		if err := os.WriteFile(h.settings, []byte(h.settingsText(seeds, s.address)), 0o600); err != nil {
			return nil, err
		}
		f.hosts = append(f.hosts, h)
		if err := h.start(); err != nil {
			f.close()
			return nil, err
		}
	}
	return f, nil
}

func (h *host) settingsText(seeds, storeAddress string) string {
	return fmt.Sprintf(`nodeName = %q
role = "entry"
machineClass = "front"
serves = ["front","control"]
ip = %q
zone = %q
region = %q
internalPorts = [%d,%d]
seeds = [%s]
bootstrap = true
heartbeatMs = 1200
[zones]
kgn-a = %q
kgn-b = %q
kgn-c = %q
[listen]
front = "%s:%d"
ready = "%s:%d"
control = "%s:%d"
[limits]
cores = 1
memoryMb = 134
maxFds = 4100
[bounds]
stableWindowMs = %d
drainMs = %d
graceS = %g
lossSlackMs = 200
configApplyMs = %d
rollbackSlackMs = 250
retryBudgetRatio = 0.2
retryWindowS = 10
retryBudgetExtra = 58
reuseWindowS = 6.5
[platform]
address = %q
form = "read"
`, h.name, h.ip, h.zone, zoneRegion, h.ports.internal, h.ports.internal+15, seeds, zoneRegion, zoneRegion, zoneRegion,
		h.ip, h.ports.front, h.ip, h.ports.ready, h.ip, h.ports.control,
		touchTime.Milliseconds(), drainTime.Milliseconds(), graceTime.Seconds(), applyTime.Milliseconds(), storeAddress)
}

func (h *host) frontAddress() string { return fmt.Sprintf("%s:%d", h.ip, h.ports.front) }

// start starts the process of the host.
func (h *host) start() error {
	h.starts++
	log, err := os.Create(filepath.Join(h.dir, fmt.Sprintf("%s-%d.log", h.name, h.starts)))
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(hostProgram)
	cmd.Env = []string{"MULBERRYDYKE_BOOT=" + h.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.cmd, h.exited = cmd, exited
	started.add(cmd.Process)
	go func() {
		_ = cmd.Wait() // the exit status is of no interest
		close(exited)
	}()
	return nil
}

// processes holds the processes that were started, so that none is left if the script is
// interrupted.
type processes struct {
	mu   sync.Mutex
	list []*os.Process
}

// started holds all processes of this script.
var started processes

func (p *processes) add(x *os.Process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = append(p.list, x)
}

// kill ends all processes. Those that have been waited for are left alone.
func (p *processes) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, x := range p.list {
		_ = x.Kill()
	}
}

// signal sends a signal to the process, which may have ended.
func (h *host) signal(sig syscall.Signal) { _ = h.cmd.Process.Signal(sig) }

// running reports whether the process has not ended.
func (h *host) running() bool {
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

// ready asks the host whether it is ready.
func (h *host) ready() bool {
	client := &http.Client{Timeout: 500 * time.Millisecond}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/ready", h.ip, h.ports.ready))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all hosts are ready.
func (f *fleet) awaitReady(timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		n := 0
		for _, h := range f.hosts {
			if h.running() && h.ready() {
				n++
			}
		}
		if n == len(f.hosts) {
			return nil
		}
	}
	return fmt.Errorf("hosts are not ready after %v", timeout)
}

// close ends all processes of the fleet and removes its files.
func (f *fleet) close() {
	for _, h := range f.hosts {
		if h.cmd != nil {
			h.signal(syscall.SIGKILL)
			<-h.exited
		}
	}
	if os.Getenv("REVIEW_KEEP_LOGS") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		f.rec.printf("logs in the temporary folder %s", filepath.Base(f.dir))
	}
}

// names returns the names of hosts.
func names(hosts []*host) string {
	var out []string
	for _, h := range hosts {
		out = append(out, h.name)
	}
	return strings.Join(out, ", ")
}
