package main

import (
	"fmt"
	"io"
	"os"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"mulberrydyke/trace"
)

func explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "explain ID [LOG...]",
		Short:   "Prints the log lines of hosts that concern one request, in order of time.",
		Example: "  mulberrydyke explain 9c41d07be2a35f68 host-1.log host-2.log",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			lines, err := readLogs(c.InOrStdin(), args[1:])
			if err != nil {
				return err
			}
			events := trace.ForRequest(args[0], lines)
			if events == nil {
				return eris.Errorf("none of %d log lines mentions request %s", len(lines), args[0])
			}
			for _, l := range events {
				fmt.Fprintln(c.OutOrStdout(), l.Text)
			}
			return nil
		},
	}
}

// readLogs reads the given log files, or standard input if there are none.
func readLogs(in io.Reader, paths []string) ([]trace.Line, error) {
	if len(paths) == 0 {
		return trace.Read(in)
	}
	var all []trace.Line
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			return nil, eris.Wrap(err, "open log file")
		}
		lines, err := trace.Read(f)
		_ = f.Close() // a read-only file, so the error is harmless
		if err != nil {
			return nil, eris.Wrap(err, "read "+path)
		}
		all = append(all, lines...)
	}
	return all, nil
}
