//go:build review

package lab

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// hostCommand is the command of the role in deploy/system.toml.
const hostCommand = "target/entryhost"

// hostOptions are the settings in which hosts differ.
type hostOptions struct {
	name, zone, ip string
	memoryMB       int
	maxFds         int
}

// host is a process of the system.
type host struct {
	hostOptions
	front, ready string
	log          string
	command      *exec.Cmd
	exited       chan struct{}
}

// ports are the ports of all hosts. They are free on all loopback addresses that are used.
type ports struct{ front, ready, control, first int }

// newPorts returns free ports.
func newPorts(ips ...string) (ports, error) {
	for base := 20000 + os.Getpid()%200*50; base < 60000; base += 40 {
		if portsAreFree(base, ips) {
			return ports{front: base, ready: base + 1, control: base + 2, first: base + 3}, nil
		}
	}
	return ports{}, fmt.Errorf("no free ports")
}

func portsAreFree(base int, ips []string) bool {
	for _, ip := range ips {
		for port := base; port < base+20; port++ {
			l, err := net.Listen("tcp4", net.JoinHostPort(ip, strconv.Itoa(port)))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// startHost starts a host and waits until it is ready.
func startHost(dir string, o hostOptions, p ports, storeAddress string, seeds []string) (*host, error) {
	address := func(port int) string { return net.JoinHostPort(o.ip, strconv.Itoa(port)) }
	quoted := make([]string, len(seeds))
	for i, ip := range seeds {
		quoted[i] = strconv.Quote(net.JoinHostPort(ip, strconv.Itoa(p.control)))
	}
	settings := fmt.Sprintf(`nodeName = %q
role = "entry"
machineClass = "front"
serves = ["front","control"]
ip = %q
zone = %q
region = "here"
internalPorts = [%d,%d]
seeds = [%s]
bootstrap = true
countAsFault = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
zone-a = "here"
zone-b = "here"
zone-c = "here"
[listen]
front = %q
ready = %q
control = %q
[limits]
cpuShare = 1.0
cores = 1
memoryMb = %d
maxFds = %d
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seedLagS = 3
addrReuseS = 2
stableWindowMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
strictRevoke = false
revokeMs = 5000
retryBudgetRatio = 0.2
retryWindowS = 10
retryBudgetExtra = 58
recoveryS = 12
passMs = 120
reuseWindowS = 6.5
[platform]
address = %q
form = "read"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
minTtlMs = 1000
`, o.name, o.ip, o.zone, p.first, p.first+15, strings.Join(quoted, ","), address(p.front), address(p.ready), address(p.control), o.memoryMB, o.maxFds, storeAddress)
	path := filepath.Join(dir, o.name+".toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	h := &host{hostOptions: o, front: address(p.front), ready: address(p.ready), log: filepath.Join(dir, o.name+".log"), exited: make(chan struct{})}
	log, err := os.Create(h.log)
	if err != nil {
		return nil, err
	}
	h.command = exec.Command(hostCommand)
	h.command.Env = append(os.Environ(), "MULBERRYDYKE_BOOT="+path)
	h.command.Stdout, h.command.Stderr = log, log
	if err := h.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = h.command.Wait() // how it ended is in ProcessState
		_ = log.Close()
		close(h.exited)
	}()
	if !h.waitReady(10 * time.Second) {
		h.kill()
		return nil, fmt.Errorf("host %s is not ready", o.name)
	}
	return h, nil
}

// waitReady waits until the readiness endpoint answers 200.
func (h *host) waitReady(timeout time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + h.ready + "/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// kill ends the process.
func (h *host) kill() {
	_ = h.command.Process.Signal(syscall.SIGKILL) // it may have ended
	<-h.exited
}

// running reports whether the process has not ended.
func (h *host) running() bool {
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

// memory returns the memory of the process in MB, without that of its files.
func (h *host) memory() float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.command.Process.Pid))
	if err != nil {
		return 0 // it has ended
	}
	for line := range bytes.Lines(raw) {
		fields := strings.Fields(string(line))
		if len(fields) > 1 && fields[0] == "RssAnon:" {
			kb, _ := strconv.ParseFloat(fields[1], 64) // the kernel writes a number
			return kb / 1024
		}
	}
	return 0
}
