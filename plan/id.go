package plan

import (
	"encoding/json"
	"time"
)

// AccountID names one customer of the fleet.
type AccountID string

// PlanID names a plan that accounts subscribe to.
type PlanID string

// ModelID names a model that engines serve.
type ModelID string

// ServiceID names a plain service that stands beside the engines.
type ServiceID string

// ClassID names a class of request, such as "interactive".
type ClassID string

// UpstreamID names one back end: an engine or an instance of a plain service.
type UpstreamID string

// HostID names one entry host.
type HostID string

// DomainID names a failure domain.
type DomainID string

// RegionID names a region.
type RegionID string

// Version orders the revisions of one list. Higher is newer; 0 means none.
type Version uint64

// Tier ranks plans. Tier 1 is the highest.
type Tier int

// Tiers that a plan may name.
const (
	HighestTier Tier = 1
	LowestTier  Tier = 8
)

// Duration is a time span that is written in JSON as Go writes it, for example
// "540ms" or "10s".
type Duration time.Duration

// Std returns the span as the standard library's type.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalJSON writes the span as a string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON reads a string such as "540ms". It fails on any other shape.
func (d *Duration) UnmarshalJSON(raw []byte) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return &ValueError{Field: "duration", Value: string(raw), Want: `a string such as "540ms"`}
	}
	span, err := time.ParseDuration(text)
	if err != nil {
		return &ValueError{Field: "duration", Value: text, Want: `a number with a unit, such as "540ms"`}
	}
	*d = Duration(span)
	return nil
}
