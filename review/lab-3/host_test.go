//go:build review

package lab

import (
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"
)

// program is the program of the deploy file.
const program = "target/entryhost"

const (
	// readyTimeout bounds the start of a host.
	readyTimeout = 10 * time.Second
	// settleTime is how long a case waits after the start of its hosts, as the
	// platform does before traffic starts.
	settleTime = 5 * time.Second
	// probeTimeout bounds one question whether a host is ready.
	probeTimeout = time.Second
)

// ports are the ports of all hosts, each at its own address.
type ports struct{ front, ready, control, internal int }

// host is one entry host and its process.
type host struct {
	name, zone, ip string
	ports          ports
	door           *door
	cmd            *exec.Cmd
	exited         chan struct{}
}

func (h *host) front() string { return fmt.Sprintf("%s:%d", h.ip, h.ports.front) }

// settings are those of a small deployment.
const settings = `nodeName = "%[1]s"
role = "entry"
machineClass = "front"
serves = ["front","control"]
ip = "%[2]s"
zone = "%[3]s"
region = "r"
internalPorts = [%[4]d,%[5]d]
seeds = [%[6]s]
bootstrap = true
heartbeatMs = 1200
[zones]
%[7]s
[listen]
front = "%[2]s:%[8]d"
ready = "%[2]s:%[9]d"
control = "%[2]s:%[10]d"
[limits]
cpuShare = 0.4
cores = 1
memoryMb = %[12]d
maxFds = 4100
linkMbps = 1000.0
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
retryBudgetRatio = 0.2
retryWindowS = 10
retryBudgetExtra = 58
recoveryS = 12
passMs = 120
reuseWindowS = 6.5
[platform]
address = "%[11]s"
form = "read"
readsPerS = 2000
historyS = 20
valueBytes = 1048576
`

// startHosts starts one host in each zone of the list, and waits until all are ready and
// have settled.
func (w *world) startHosts(zones ...string) error {
	if _, err := os.Stat(program); err != nil {
		return err
	}
	var seeds []string
	zoneLines := map[string]string{}
	for i, zone := range zones {
		h := &host{name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, ip: fmt.Sprintf("127.61.0.%d", i+1)}
		w.hosts = append(w.hosts, h)
		zoneLines[zone] = zone + ` = "r"`
	}
	p, err := freePorts(w.hosts)
	if err != nil {
		return err
	}
	for _, h := range w.hosts[:min(3, len(w.hosts))] {
		seeds = append(seeds, fmt.Sprintf(`"%s:%d"`, h.ip, p.control))
	}
	for _, h := range w.hosts {
		h.ports = p
		if h.door, err = w.store.openDoor(); err != nil {
			return err
		}
		text := fmt.Sprintf(settings, h.name, h.ip, h.zone, p.internal, p.internal+15, strings.Join(seeds, ","),
			strings.Join(slices.Sorted(maps.Values(zoneLines)), "\n"), p.front, p.ready, p.control, h.door.Addr(), w.memoryMB)
		if err := h.start(w, text); err != nil {
			return err
		}
	}
	for _, h := range w.hosts {
		if err := h.awaitReady(); err != nil {
			return err
		}
	}
	time.Sleep(settleTime)
	return nil
}

// start writes the settings of a host and starts its process.
func (h *host) start(w *world, text string) error {
	if err := os.WriteFile(filepath.Join(w.dir, h.name+".toml"), []byte(text), 0o600); err != nil {
		return err
	}
	return h.launch(w)
}

// launch starts the process of a host, also again.
func (h *host) launch(w *world) error {
	log, err := os.OpenFile(filepath.Join(w.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(program)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MULBERRYDYKE_BOOT=" + filepath.Join(w.dir, h.name+".toml")}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	h.cmd, h.exited = cmd, exited
	w.record.printf("%s started at %s, zone %s", h.name, h.front(), h.zone)
	return nil
}

// isReady asks a host once whether it is ready, as the load balancer does.
func (h *host) isReady() bool {
	client := http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/ready", h.ip, h.ports.ready))
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (h *host) awaitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if h.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s did not get ready", h.name)
}

// stopHosts kills the processes that are left.
func (w *world) stopHosts() {
	for _, h := range w.hosts {
		if h.cmd == nil || h.cmd.Process == nil {
			continue
		}
		_ = h.cmd.Process.Signal(syscall.SIGKILL) // it may have exited
		<-h.exited
	}
}

// freePorts returns ports that are free at the addresses of all hosts.
func freePorts(hosts []*host) (ports, error) {
	for base := 21000; base < 60000; base += 40 {
		p := ports{front: base, ready: base + 1, control: base + 2, internal: base + 10}
		if allFree(hosts, base, base+30) {
			return p, nil
		}
	}
	return ports{}, errors.New("no free ports")
}

func allFree(hosts []*host, first, last int) bool {
	for _, h := range hosts {
		for port := first; port < last; port++ {
			address := fmt.Sprintf("%s:%d", h.ip, port)
			tcp, err := net.Listen("tcp4", address)
			if err != nil {
				return false
			}
			tcp.Close()
			udp, err := net.ListenPacket("udp4", address)
			if err != nil {
				return false
			}
			udp.Close()
		}
	}
	return true
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
