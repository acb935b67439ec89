//go:build review

// Package lab plays the cases of the review that are no days of the bench. Each starts hosts as
// separate processes and plays their clients, runners and store. It holds no tests: it is built as a
// program of its own by build-2.sh, and consists of test files since they use the platform's names.
package lab

import (
	"fmt"
	"os"
	"testing"
)

// TestMain plays the case that the first argument names, and writes its record to the second. Without
// such arguments there is nothing to run.
func TestMain(m *testing.M) {
	if len(os.Args) != 3 {
		os.Exit(m.Run())
	}
	if os.Args[1] == "runner" {
		fmt.Fprintln(os.Stderr, runRunner(os.Args[2]))
		os.Exit(exitNotRun)
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		os.Exit(m.Run())
	}
	os.Exit(play(run, os.Args[2], os.Getenv("TROUBLE") != "0"))
}
