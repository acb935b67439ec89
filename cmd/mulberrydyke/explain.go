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
		Short:   "Prints what hosts' logs tell of one request, in order.",
		Example: "  mulberrydyke explain 9c41d07be2a35f68 host-1.log host-2.log",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			lines, err := readLogs(c.InOrStdin(), args[1:])
			if err != nil {
				return err
			}
			story := trace.ForRequest(args[0], lines)
			if story == nil {
				return eris.Errorf("no line of %d names request %s", len(lines), args[0])
			}
			for _, l := range story {
				fmt.Fprintln(c.OutOrStdout(), l.Text)
			}
			return nil
		},
	}
}

// readLogs reads the logs in files, or standard input where there are none.
func readLogs(in io.Reader, paths []string) ([]trace.Line, error) {
	if len(paths) == 0 {
		return trace.Read(in)
	}
	var all []trace.Line
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			return nil, eris.Wrap(err, "open a log")
		}
		lines, err := trace.Read(f)
		_ = f.Close() // it was only read
		if err != nil {
			return nil, eris.Wrap(err, "read "+path)
		}
		all = append(all, lines...)
	}
	return all, nil
}
