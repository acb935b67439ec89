package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"mulberrydyke/plan"
	"mulberrydyke/setting"
)

func checkCommand() *cobra.Command {
	var settings, plans, entitlements, upstreams, hosts string
	var table tableCheck
	c := &cobra.Command{
		Use:   "check",
		Short: "Checks settings and lists without running anything.",
		Long: `Checks settings and lists without running anything.

With --table, it checks the operators' configuration of the platform instead of
the product's own lists, and prints one finding per line. With --in-force, it also
prints the differences from the version in force.

Exit statuses: 0 all valid, 2 invalid settings, wrong arguments or an unreadable
configuration, 3 an invalid list or a configuration with errors.`,
		Example: "  mulberrydyke check --plans plans.json --entitlements entitlements.json\n" +
			"  mulberrydyke check --table next.json --in-force current.json",
		Args: func(c *cobra.Command, args []string) error { return asArgumentError(cobra.NoArgs(c, args)) },
		RunE: func(c *cobra.Command, _ []string) error {
			if settings != "" {
				if _, err := setting.Load(settings); err != nil {
					return err
				}
			}
			if err := table.checkArguments(plans + entitlements + upstreams + hosts); err != nil {
				return err
			}
			if table.file != "" {
				return table.run(c.OutOrStdout())
			}
			state, err := decodeLists(map[plan.ListKind]string{
				plan.KindPlans: plans, plan.KindEntitlements: entitlements,
				plan.KindUpstreams: upstreams, plan.KindHosts: hosts,
			})
			if err != nil {
				return err
			}
			return checkListsAgree(c, state, plans != "" && entitlements != "")
		},
	}
	flags := c.Flags()
	flags.StringVar(&settings, "settings", "", "settings file of a host")
	flags.StringVar(&plans, "plans", "", "file with the list of plans and accounts")
	flags.StringVar(&entitlements, "entitlements", "", "file with the list of entitlements of each plan")
	flags.StringVar(&upstreams, "upstreams", "", "file with the platform's list of upstreams")
	flags.StringVar(&hosts, "hosts", "", "file with the platform's list of hosts")
	flags.StringVar(&table.file, "table", "", "file with the operators' configuration of the platform")
	flags.StringVar(&table.inForce, "in-force", "", "file with the configuration in force, to compare --table with")
	flags.BoolVar(&table.asJSON, "json", false, "print the findings about --table as JSON")
	c.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return asArgumentError(err) })
	return c
}

// decodeLists decodes the lists in files. Those without a file are left out.
func decodeLists(files map[plan.ListKind]string) (*plan.State, error) {
	state := plan.NewState()
	for kind, file := range files {
		if file == "" {
			continue
		}
		raw, err := os.ReadFile(file)
		if err != nil {
			return nil, &plan.ValueError{Field: string(kind), Value: file, Want: err.Error()}
		}
		if state, err = state.WithList(kind, raw); err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
	}
	return state, nil
}

// checkListsAgree checks, if both are given, that the operators' lists of plans
// and entitlements are consistent, and prints the versions of all lists.
func checkListsAgree(c *cobra.Command, state *plan.State, haveBoth bool) error {
	if haveBoth {
		var problems []string
		known := map[plan.PlanID]bool{}
		for _, p := range state.Plans.Plans {
			known[p.ID] = true
			problems = append(problems, missingTargets(state, p)...)
		}
		for _, e := range state.Entitlements.Entitlements {
			if !known[e.Plan] {
				problems = append(problems, fmt.Sprintf("plan %q has entitlements but is missing from the list of plans", e.Plan))
			}
		}
		if len(problems) > 0 {
			return &plan.ValueError{Field: "lists", Value: strings.Join(problems, "; "), Want: "consistent lists of plans and entitlements"}
		}
	}
	return json.NewEncoder(c.OutOrStdout()).Encode(state.Versions())
}

// missingTargets describes each class that a plan is entitled to without having a
// target for it, or the lack of any entitlement.
func missingTargets(state *plan.State, p plan.Plan) []string {
	var problems []string
	entitled := false
	for _, e := range state.Entitlements.Entitlements {
		if e.Plan != p.ID {
			continue
		}
		entitled = true
		for _, class := range e.Classes {
			if _, ok := p.Targets[class]; !ok {
				problems = append(problems, fmt.Sprintf("plan %q has no target for class %q", p.ID, class))
			}
		}
	}
	if !entitled {
		problems = append(problems, fmt.Sprintf("plan %q has no entitlements", p.ID))
	}
	return problems
}
