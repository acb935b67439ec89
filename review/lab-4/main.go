// Command lab-4 runs the scripted cases of the third review: it starts entry hosts as processes of their
// own, with stand-ins for the store, the runners and the clients, and judges what these have seen.
package main

import (
	"fmt"
	"os"
	"path/filepath"
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
	hosts   []*host
}

var cases = map[string]func(*caseRun) (broken bool, err error){
	"watch-cut":  watchCut,
	"long-heads": longHeads,
	"no-birth":   noBirth,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab-4 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

func runCase(name, folder string) int {
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
	c := &caseRun{dir: dir, record: rec, trouble: os.Getenv("TROUBLE") != "0"}
	defer c.end()
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
	hosts, err := startFleet(c.dir, f)
	c.hosts = hosts
	return err
}

// end ends all processes that the case has started.
func (c *caseRun) end() {
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
