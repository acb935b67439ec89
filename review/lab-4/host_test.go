//go:build review

package lab

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Ports of the hosts, each at an IP address of its own.
const (
	callerPort   = 8740
	readyPort    = 8749
	peerPort     = 8748
	internalPort = 7200
)

// firstOctet and octets bound the second octet of the hosts' addresses, which keeps those of several cases
// apart.
const (
	firstOctet = 16
	octets     = 200
)

// zoneNames are the zones of the deployment.
var zoneNames = []string{"dk-east-a", "dk-east-b", "dk-east-c"}

// host is one process of the system.
type host struct {
	name, ip, zone, settings, logPath string
	cmd                               *exec.Cmd
	exited                            chan struct{}
}

// fleetSettings are the settings that cases choose.
type fleetSettings struct {
	hosts, memoryMB, drainMs int
	store                    string
}

// startFleet starts hosts at addresses of their own and waits until all are ready. It calls started with each.
func startFleet(dir string, f fleetSettings, started func(*host)) error {
	octet, err := freeOctet()
	if err != nil {
		return err
	}
	var hosts []*host
	var seeds []string
	for i := range f.hosts {
		ip := fmt.Sprintf("127.%d.%d.%d", octet, i%len(zoneNames), 1+i/len(zoneNames))
		hosts = append(hosts, &host{name: fmt.Sprintf("front-%s-%d", zoneNames[i%len(zoneNames)], 1+i/len(zoneNames)), ip: ip, zone: zoneNames[i%len(zoneNames)]})
		if i < len(zoneNames) {
			seeds = append(seeds, fmt.Sprintf("%s:%d", ip, peerPort))
		}
	}
	for _, h := range hosts {
		if err := h.writeSettings(dir, f, seeds); err != nil {
			return err
		}
		if err := h.start(); err != nil {
			return err
		}
		started(h)
	}
	for _, h := range hosts {
		if err := h.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// freeOctet returns the second octet of addresses at which no host runs.
func freeOctet() (int, error) {
	first := rand.IntN(octets)
	for i := range octets {
		octet := firstOctet + (first+i)%octets
		conn, err := net.ListenPacket("udp4", fmt.Sprintf("127.%d.0.1:%d", octet, internalPort))
		if err != nil {
			continue
		}
		return octet, conn.Close()
	}
	return 0, errors.New("no free addresses")
}

func (h *host) writeSettings(dir string, f fleetSettings, seeds []string) error {
	h.settings, h.logPath = filepath.Join(dir, h.name+".toml"), filepath.Join(dir, h.name+".log")
	text := fmt.Sprintf(`nodeName = %q
role = "entry"
machineClass = "front"
serves = ["front","control"]
ip = %q
zone = %q
region = "dk-east"
internalPorts = [%d,%d]
seeds = ["%s"]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
[zones]
dk-east-a = "dk-east"
dk-east-b = "dk-east"
dk-east-c = "dk-east"
[listen]
front = "%s:%d"
ready = "%s:%d"
control = "%s:%d"
[limits]
cpuShare = 0.4
cores = 1
memoryMb = %d
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
seedLagS = 3
addrReuseS = 2
stableWindowMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = %d
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
strictRevoke = false
revokeMs = 5000
retryBudgetRatio = 0.2
retryWindowS = 10
retryBudgetExtra = 52
recoveryS = 12
passMs = 120
reuseWindowS = 8.1
[platform]
address = %q
form = "read"
readsPerS = 2000
historyS = 20
valueBytes = 1048576
`, h.name, h.ip, h.zone, internalPort, internalPort+15, strings.Join(seeds, `","`), h.ip, callerPort, h.ip, readyPort, h.ip, peerPort, f.memoryMB, f.drainMs, f.store)
	return os.WriteFile(h.settings, []byte(text), 0o600)
}

// start starts the process as the deploy file does.
func (h *host) start() error {
	log, err := os.OpenFile(h.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	h.cmd = exec.Command("target/entryhost")
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MULBERRYDYKE_BOOT=" + h.settings}
	h.cmd.Stdout, h.cmd.Stderr = log, log
	if err := h.cmd.Start(); err != nil {
		return err
	}
	h.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(h.cmd, h.exited)
	return nil
}

// signal sends a signal to the process, if it runs.
func (h *host) signal(s syscall.Signal) {
	if h.running() {
		_ = h.cmd.Process.Signal(s)
	}
}

// running reports whether the process runs.
func (h *host) running() bool {
	if h.cmd == nil || h.exited == nil {
		return false
	}
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

// kill ends the process and waits for its end.
func (h *host) kill() {
	if !h.running() {
		return
	}
	h.signal(syscall.SIGKILL)
	<-h.exited
}

func (h *host) callers() string { return fmt.Sprintf("%s:%d", h.ip, callerPort) }

// isReady asks the host once whether it is ready.
func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/ready", h.ip, readyPort))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (h *host) awaitReady(timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if h.isReady() {
			return nil
		}
	}
	return errors.New(h.name + " is not ready")
}
