//go:build review

// Package lab holds the scripts of the review: stand-ins of the platform's store, of runners
// and of clients, and the cases that use them. The test binary is a program: REVIEW_CASE names
// the case that it plays. Without it there is nothing to run.
package lab

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the scripts by name. Each returns an exit code.
var cases = map[string]func(*record) (int, error){
	"removal":  playRemoval,
	"takeover": playTakeover,
	"upload":   playUpload,
}

func TestMain(m *testing.M) {
	name := os.Getenv("REVIEW_CASE")
	if name == "" {
		os.Exit(m.Run())
	}
	os.Exit(play(name))
}

// play plays a case and returns its exit code.
func play(name string) int {
	run, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return exitNotRun
	}
	rec, err := newRecord(os.Getenv("REVIEW_RECORD"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	go endOnSignal()
	code, err := run(rec)
	if err != nil {
		rec.printf("could not run: %v", err)
		return exitNotRun
	}
	rec.printf("exit code %d", code)
	return code
}

// maxDuration bounds a script.
const maxDuration = 115 * time.Second

// endOnSignal ends the script and all that it started when it is told to stop or takes too long.
func endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case <-signals:
	case <-time.After(maxDuration):
	}
	started.kill()
	os.Exit(exitNotRun)
}

// withTrouble reports whether the case is played with its disruption.
func withTrouble() bool { return os.Getenv("TROUBLE") != "0" }
