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

Exit statuses: 0 all are valid, 2 the settings are not, 3 a list is not.`,
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
			return crossCheck(c, state, plans != "" && entitlements != "")
		},
	}
	f := c.Flags()
	f.StringVar(&settings, "settings", "", "settings of a host")
	f.StringVar(&plans, "plans", "", "list of plans and accounts")
	f.StringVar(&entitlements, "entitlements", "", "list of what each plan may use")
	f.StringVar(&upstreams, "upstreams", "", "the platform's list of upstreams")
	f.StringVar(&hosts, "hosts", "", "the platform's list of hosts")
	return c
}

// crossCheck holds the two operators' lists against each other.
func crossCheck(c *cobra.Command, s *plan.State, both bool) error {
	if both {
		var faults []string
		known := map[plan.PlanID]bool{}
		for _, p := range s.Plans.Plans {
			known[p.ID] = true
			faults = append(faults, missingTargets(s, p)...)
		}
		for _, e := range s.Entitlements.Entitlements {
			if !known[e.Plan] {
				faults = append(faults, fmt.Sprintf("plan %q is entitled but not in the plans", e.Plan))
			}
		}
		if len(faults) > 0 {
			return &plan.ValueError{Field: "lists", Value: strings.Join(faults, "; "), Want: "two lists that fit each other"}
		}
	}
	return json.NewEncoder(c.OutOrStdout()).Encode(s.Versions())
}

// missingTargets names the classes that a plan may use without a target.
func missingTargets(s *plan.State, p plan.Plan) []string {
	var out []string
	entitled := false
	for _, e := range s.Entitlements.Entitlements {
		if e.Plan != p.ID {
			continue
		}
		entitled = true
		for _, class := range e.Classes {
			if _, ok := p.Targets[class]; !ok {
				out = append(out, fmt.Sprintf("plan %q has no target for class %q", p.ID, class))
			}
		}
	}
	if !entitled {
		out = append(out, fmt.Sprintf("plan %q is entitled to nothing", p.ID))
	}
	return out
}
