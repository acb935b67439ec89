// Command lab-2 runs the cases of the review that are no days of the bench. Each starts hosts as
// separate processes and plays their clients, runners and store.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: lab-2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	if os.Args[1] == "runner" {
		fmt.Fprintln(os.Stderr, runRunner(os.Args[2]))
		os.Exit(exitNotRun)
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(exitNotRun)
	}
	os.Exit(play(run, os.Args[2], os.Getenv("TROUBLE") != "0"))
}
