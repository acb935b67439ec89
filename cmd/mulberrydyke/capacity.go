package main

import (
	"encoding/json"

	"github.com/spf13/cobra"

	"mulberrydyke/capacity"
)

// capacityReport is the JSON output of the capacity command.
type capacityReport struct {
	UnitCosts []capacity.UnitCost `json:"slopes"`
	RoleCosts []capacity.RoleCost `json:"roles"`
}

func capacityCommand() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use:     "capacity",
		Short:   "Measures what each role of a host costs and extrapolates to the planned size.",
		Example: "  mulberrydyke load capacity --json",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			costs, err := capacity.Measure()
			if err != nil {
				return err
			}
			roles := capacity.RoleCosts(costs, capacity.PlannedSize())
			if asJSON {
				return json.NewEncoder(c.OutOrStdout()).Encode(capacityReport{costs, roles})
			}
			return capacity.WriteReport(c.OutOrStdout(), costs, roles, capacity.HostBudget())
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return c
}
