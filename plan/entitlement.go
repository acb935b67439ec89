package plan

import (
	"fmt"
	"strings"
)

// Entitlements is the list, written by operators, of what each plan may use.
type Entitlements struct {
	Version Version `json:"version"`
	// Classes are the request classes.
	Classes []Class `json:"classes"`
	// Floors guarantee tiers a minimum fraction of every pool's capacity.
	Floors []Floor `json:"floors"`
	// Services are the plain services and their endpoints.
	Services []Service `json:"services"`
	// Entitlements define what each plan may use.
	Entitlements []Entitlement `json:"entitlements"`
	// Quarantine is how long a request that crashed two upstreams is refused.
	// Zero selects DefaultQuarantine.
	Quarantine Duration `json:"quarantine,omitempty"`
}

// Class is one request class.
type Class struct {
	// ID is unique in the list.
	ID ClassID `json:"id"`
	// Idempotent requests may be retried after a failure. Other requests run
	// at most once, under a ticket.
	Idempotent bool `json:"idempotent"`
}

// Floor is the minimum fraction of capacity that is guaranteed to a tier.
type Floor struct {
	Tier Tier `json:"tier"`
	// Fraction is in (0, 0.5]. The sum over all tiers is at most 0.5.
	Fraction float64 `json:"part"`
}

// Service is a plain HTTP service, as opposed to an inference engine.
type Service struct {
	// ID is unique in the list.
	ID        ServiceID  `json:"id"`
	Endpoints []Endpoint `json:"calls"`
}

// Endpoint is one method and path of a plain service.
type Endpoint struct {
	// Method is the HTTP method in upper case.
	Method string `json:"method"`
	// Path begins with a slash. A final "*" matches any suffix.
	Path string `json:"path"`
	// Idempotent requests may be retried. Other requests run at most once.
	Idempotent bool `json:"idempotent"`
}

// Entitlement defines what one plan may use.
type Entitlement struct {
	Plan     PlanID      `json:"plan"`
	Models   []ModelID   `json:"models"`
	Classes  []ClassID   `json:"classes"`
	Services []ServiceID `json:"services"`
	// Priority orders the requests of plans of one tier at the engines.
	// Requests with a higher value run first; the default is 0.
	Priority int `json:"priority"`
	// Share is the plan's fraction of its tier's capacity, in (0, 1].
	Share float64 `json:"share"`
}

// DecodeEntitlements decodes and validates a list of entitlements.
func DecodeEntitlements(raw []byte) (*Entitlements, error) {
	var e Entitlements
	if err := decode(KindEntitlements, raw, &e); err != nil {
		return nil, err
	}
	return &e, nil
}

func (e *Entitlements) validate(v *validator) {
	v.require(e.Version > 0, "a number above 0", "version", e.Version)
	v.require(e.Quarantine >= 0, "a duration of 0 or more", "quarantine", e.Quarantine.Std())
	classes := e.validateClasses(v)
	services := e.validateServices(v)
	e.validateFloors(v)
	seen := make(map[PlanID]bool, len(e.Entitlements))
	for i, entitlement := range e.Entitlements {
		path := fmt.Sprintf("entitlements[%d]", i)
		v.require(entitlement.Plan != "" && !seen[entitlement.Plan], "a plan that is unique in the list", path+".plan", entitlement.Plan)
		v.require(entitlement.Share > 0 && entitlement.Share <= 1, "a number above 0 and at most 1", path+".share", entitlement.Share)
		for _, id := range entitlement.Classes {
			v.require(classes[id], "a class defined in this list", path+".classes", id)
		}
		for _, id := range entitlement.Services {
			v.require(services[id], "a service defined in this list", path+".services", id)
		}
		seen[entitlement.Plan] = true
	}
}

// validateClasses validates the classes and returns the set of their IDs.
func (e *Entitlements) validateClasses(v *validator) map[ClassID]bool {
	classes := make(map[ClassID]bool, len(e.Classes))
	for i, class := range e.Classes {
		v.require(class.ID != "" && !classes[class.ID], "a non-empty name that is unique in the list", fmt.Sprintf("classes[%d].id", i), class.ID)
		classes[class.ID] = true
	}
	return classes
}

// validateServices validates the services and returns the set of their IDs.
func (e *Entitlements) validateServices(v *validator) map[ServiceID]bool {
	services := make(map[ServiceID]bool, len(e.Services))
	for i, service := range e.Services {
		path := fmt.Sprintf("services[%d]", i)
		v.require(service.ID != "" && !services[service.ID], "a non-empty name that is unique in the list", path+".id", service.ID)
		for j, endpoint := range service.Endpoints {
			endpointField := fmt.Sprintf("%s.calls[%d]", path, j)
			v.require(endpoint.Method != "" && endpoint.Method == strings.ToUpper(endpoint.Method),
				"an HTTP method in upper case", endpointField+".method", endpoint.Method)
			v.require(strings.HasPrefix(endpoint.Path, "/"), "a path that begins with a slash", endpointField+".path", endpoint.Path)
		}
		services[service.ID] = true
	}
	return services
}

func (e *Entitlements) validateFloors(v *validator) {
	const maxFraction = 0.5
	sum := 0.0
	seen := make(map[Tier]bool, len(e.Floors))
	for i, floor := range e.Floors {
		path := fmt.Sprintf("floors[%d]", i)
		v.require(floor.Tier >= HighestTier && floor.Tier <= LowestTier && !seen[floor.Tier], "a tier from 1 to 8 that is unique in the list", path+".tier", floor.Tier)
		v.require(floor.Fraction > 0 && floor.Fraction <= maxFraction, "a number above 0 and at most 0.5", path+".part", floor.Fraction)
		sum += floor.Fraction
		seen[floor.Tier] = true
	}
	v.require(sum <= maxFraction, "a sum of at most 0.5", "floors", sum)
}
