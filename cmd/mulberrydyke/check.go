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
	c := &cobra.Command{
		Use:   "check",
		Short: "Checks settings and lists without running anything.",
		Long: `Checks settings and lists without running anything.

Exit statuses: 0 all valid, 2 invalid settings, 3 an invalid list.`,
		Example: "  mulberrydyke check --plans plans.json --entitlements entitlements.json",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if settings != "" {
				if _, err := setting.Load(settings); err != nil {
					return err
				}
			}
			state := plan.NewState()
			for kind, file := range map[plan.ListKind]string{
				plan.KindPlans: plans, plan.KindEntitlements: entitlements,
				plan.KindUpstreams: upstreams, plan.KindHosts: hosts,
			} {
				if file == "" {
					continue
				}
				raw, err := os.ReadFile(file)
				if err != nil {
					return &plan.ValueError{Field: string(kind), Value: file, Want: err.Error()}
				}
				if state, err = state.WithList(kind, raw); err != nil {
					return fmt.Errorf("%s: %w", file, err)
				}
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
	return c
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
