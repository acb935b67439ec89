package main

import (
	"encoding/json"

	"github.com/spf13/cobra"

	"mulberrydyke/capacity"
)

// capacityReport is the report as JSON.
type capacityReport struct {
	Slopes []capacity.Slope `json:"slopes"`
	Roles  []capacity.Role  `json:"roles"`
}

func capacityCommand() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use:     "capacity",
		Short:   "Measures what each role costs and works it out at the size to come.",
		Example: "  mulberrydyke load capacity --json",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			slopes, err := capacity.Measure()
			if err != nil {
				return err
			}
			roles := capacity.Roles(slopes, capacity.LetterSize())
			if asJSON {
				return json.NewEncoder(c.OutOrStdout()).Encode(capacityReport{slopes, roles})
			}
			return capacity.WriteReport(c.OutOrStdout(), slopes, roles, capacity.LetterBudget())
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return c
}
