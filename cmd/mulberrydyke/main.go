// Command mulberrydyke routes language-model traffic with service levels and
// priorities.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"mulberrydyke/plan"
	"mulberrydyke/setting"
)

// Exit statuses of the program.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
	exitLists    = 3
)

// version is the version that the version command prints.
const version = "0.1.0"

func main() { os.Exit(run(os.Args[1:])) }

// run executes the command line and returns the exit status.
func run(args []string) int {
	root := &cobra.Command{
		Use:   "mulberrydyke",
		Short: "Routes language-model traffic with service levels and priorities.",
		Long: `Routes language-model traffic with service levels and priorities.

Exit statuses: 0 success, 1 failure, 2 invalid settings, 3 invalid lists or
configuration.`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(serveCommand(), checkCommand(), statusCommand(), loadCommand(), standInCommand(), demoCommand(), explainCommand(), versionCommand())
	root.SetArgs(args)
	err := root.Execute()
	if err != nil {
		fmt.Fprintln(os.Stderr, "mulberrydyke:", err)
	}
	return exitStatus(err)
}

func exitStatus(err error) int {
	var settingsErr *setting.Error
	var valueErr *plan.ValueError
	var decodeErr *plan.DecodeError
	var argumentErr *argumentError
	var findingsErr *findingsError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &settingsErr), errors.As(err, &argumentErr):
		return exitSettings
	case errors.As(err, &valueErr), errors.As(err, &decodeErr), errors.As(err, &findingsErr):
		return exitLists
	}
	return exitFailed
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Prints the version.",
		Args:  cobra.NoArgs,
		Run:   func(c *cobra.Command, _ []string) { fmt.Fprintln(c.OutOrStdout(), version) },
	}
}
