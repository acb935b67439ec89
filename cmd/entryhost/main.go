// Command entryhost runs one entry host on the platform. It links only the
// packages that a host needs there; see docs/PLATFORM.md.
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
