package plan

import (
	"fmt"
	"strings"
)

// Entitlements is the operators' second list: what each plan may use.
type Entitlements struct {
	Version Version `json:"version"`
	// Classes are the classes of request.
	Classes []Class `json:"classes"`
	// Floors carve a minimum of every pool's capacity out for a tier.
	Floors []Floor `json:"floors"`
	// Services are the plain services and their calls.
	Services []Service `json:"services"`
	// Entitlements say what each plan may use.
	Entitlements []Entitlement `json:"entitlements"`
	// Quarantine is how long a request that crashed two upstreams is refused.
	// Zero means DefaultQuarantine.
	Quarantine Duration `json:"quarantine,omitempty"`
}

// Class is one class of request.
type Class struct {
	// ID is unique in the list.
	ID ClassID `json:"id"`
	// Idempotent requests may run again after a failure. Others run at most
	// once, under a ticket.
	Idempotent bool `json:"idempotent"`
}

// Floor is the part of capacity that a tier is always given.
type Floor struct {
	Tier Tier `json:"tier"`
	// Part lies in (0, 0.5]. The sum over all tiers is at most 0.5.
	Fraction float64 `json:"part"`
}

// Service is a plain service beside the engines.
type Service struct {
	// ID is unique in the list.
	ID        ServiceID  `json:"id"`
	Endpoints []Endpoint `json:"calls"`
}

// Call is one call of a plain service.
type Endpoint struct {
	// Method is the HTTP method in capital letters.
	Method string `json:"method"`
	// Path begins with a slash. A final "*" stands for any rest.
	Path string `json:"path"`
	// Idempotent calls may be repeated. Others run at most once.
	Idempotent bool `json:"idempotent"`
}

// Entitlement is what one plan may use.
type Entitlement struct {
	Plan     PlanID      `json:"plan"`
	Models   []ModelID   `json:"models"`
	Classes  []ClassID   `json:"classes"`
	Services []ServiceID `json:"services"`
	// Priority orders plans of one tier at the engines. Zero is the default;
	// a higher value goes first.
	Priority int `json:"priority"`
	// Share is the plan's part of its tier's capacity. It lies in (0, 1].
	Share float64 `json:"share"`
}

// DecodeEntitlements reads and checks a list of entitlements.
func DecodeEntitlements(raw []byte) (*Entitlements, error) {
	var e Entitlements
	if err := decode(KindEntitlements, raw, &e); err != nil {
		return nil, err
	}
	return &e, nil
}

func (e *Entitlements) check(c *check) {
	c.that(e.Version > 0, "a number above 0", "version", e.Version)
	c.that(e.Quarantine >= 0, "a span of 0 or more", "quarantine", e.Quarantine.Std())
	classes := e.checkClasses(c)
	services := e.checkServices(c)
	e.checkFloors(c)
	seen := make(map[PlanID]bool, len(e.Entitlements))
	for i, en := range e.Entitlements {
		at := fmt.Sprintf("entitlements[%d]", i)
		c.that(en.Plan != "" && !seen[en.Plan], "a plan named once", at+".plan", en.Plan)
		c.that(en.Share > 0 && en.Share <= 1, "above 0, at most 1", at+".share", en.Share)
		for _, id := range en.Classes {
			c.that(classes[id], "a class of this list", at+".classes", id)
		}
		for _, id := range en.Services {
			c.that(services[id], "a service of this list", at+".services", id)
		}
		seen[en.Plan] = true
	}
}

func (e *Entitlements) checkClasses(c *check) map[ClassID]bool {
	classes := make(map[ClassID]bool, len(e.Classes))
	for i, cl := range e.Classes {
		c.that(cl.ID != "" && !classes[cl.ID], "a unique name", fmt.Sprintf("classes[%d].id", i), cl.ID)
		classes[cl.ID] = true
	}
	return classes
}

func (e *Entitlements) checkServices(c *check) map[ServiceID]bool {
	services := make(map[ServiceID]bool, len(e.Services))
	for i, s := range e.Services {
		at := fmt.Sprintf("services[%d]", i)
		c.that(s.ID != "" && !services[s.ID], "a unique name", at+".id", s.ID)
		for j, call := range s.Endpoints {
			field := fmt.Sprintf("%s.calls[%d]", at, j)
			c.that(call.Method != "" && call.Method == strings.ToUpper(call.Method),
				"a method in capital letters", field+".method", call.Method)
			c.that(strings.HasPrefix(call.Path, "/"), "a path that begins with a slash", field+".path", call.Path)
		}
		services[s.ID] = true
	}
	return services
}

func (e *Entitlements) checkFloors(c *check) {
	const most = 0.5
	sum := 0.0
	seen := make(map[Tier]bool, len(e.Floors))
	for i, f := range e.Floors {
		at := fmt.Sprintf("floors[%d]", i)
		c.that(f.Tier >= HighestTier && f.Tier <= LowestTier && !seen[f.Tier], "a tier named once", at+".tier", f.Tier)
		c.that(f.Fraction > 0 && f.Fraction <= most, "above 0, at most 0.5", at+".part", f.Fraction)
		sum += f.Fraction
		seen[f.Tier] = true
	}
	c.that(sum <= most, "a sum of at most 0.5", "floors", sum)
}
