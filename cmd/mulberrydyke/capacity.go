package main

import (
	"encoding/json"

	"github.com/spf13/cobra"

	"mulberrydyke/capacity"
)

// capacityReport is the report as JSON.
type capacityReport struct {
	Slopes []capacity.UnitCost `json:"slopes"`
	Roles  []capacity.RoleCost `json:"roles"`
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
			roles := capacity.RoleCosts(slopes, capacity.PlannedSize())
			if asJSON {
				return json.NewEncoder(c.OutOrStdout()).Encode(capacityReport{slopes, roles})
			}
			return capacity.WriteReport(c.OutOrStdout(), slopes, roles, capacity.HostBudget())
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return c
}
