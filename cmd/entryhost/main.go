// Command entryhost runs one entry host on the users' platform. It links only
// what a host needs there; see docs/PLATFORM.md.
package main

import (
	"fmt"
	"os"

	"mulberrydyke/edge"
)

func main() {
	if err := edge.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "entryhost:", err)
		os.Exit(1)
	}
}
