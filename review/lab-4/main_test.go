//go:build review

// Package lab runs the scripted cases of the third review: it starts entry hosts as processes of their
// own, with stand-ins for the store, the runners and the clients, and judges what these have seen.
package lab

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseRun is what a case gets to run with.
type caseRun struct {
	// dir is a temporary folder.
	dir    string
	record *record
	// trouble is unset if the case is to run without its disruption.
	trouble bool
	// mu guards hosts.
	mu    sync.Mutex
	hosts []*host
}

var cases = map[string]func(*caseRun) (broken bool, err error){
	"watch-cut":  watchCut,
	"long-heads": longHeads,
	"no-birth":   noBirth,
	"late-beat":  lateBeat,
}

// TestMain runs a case in place of tests, of which there are none.
func TestMain(*testing.M) {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab-4 CASE FOLDER TROUBLE, where TROUBLE is 0 for none")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2], os.Args[3] != "0"))
}

func runCase(name, folder string, trouble bool) int {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "lab-4")
	if err != nil {
		rec.say("not run: %v", err)
		return exitNotRun
	}
	defer os.RemoveAll(dir)
	c := &caseRun{dir: dir, record: rec, trouble: trouble}
	rec.add("case %s, with the disruption: %v", name, trouble)
	defer c.end()
	c.endOnSignal()
	broken, err := cases[name](c)
	switch {
	case err != nil:
		rec.say("not run: %v", err)
		return exitNotRun
	case broken:
		rec.say("the rule was broken")
		return exitBroken
	}
	rec.say("the rule held")
	return exitHeld
}

// startHosts starts the hosts of a case.
func (c *caseRun) startHosts(f fleetSettings) error {
	return startFleet(c.dir, f, func(h *host) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.hosts = append(c.hosts, h)
	})
}

// endOnSignal ends all processes of the case if this one is told to end. A reader of the output that goes
// away ends nothing.
func (c *caseRun) endOnSignal() {
	signal.Ignore(syscall.SIGPIPE)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		<-signals
		c.end()
		os.Exit(exitNotRun)
	}()
}

// end ends all processes that the case has started.
func (c *caseRun) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.hosts {
		h.kill()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, h := range c.hosts {
			raw, _ := os.ReadFile(h.logPath)
			_ = os.WriteFile(filepath.Join(keep, h.name+".log"), raw, 0o600)
		}
	}
}
