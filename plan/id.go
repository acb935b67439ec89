package plan

import (
	"encoding/json"
	"time"
)

// AccountID identifies a client account.
type AccountID string

// PlanID identifies a plan that accounts subscribe to.
type PlanID string

// ModelID identifies a model that engines serve.
type ModelID string

// ServiceID identifies a plain HTTP service, as opposed to an inference engine.
type ServiceID string

// ClassID identifies a request class, such as "interactive".
type ClassID string

// UpstreamID identifies an upstream: an engine or an instance of a plain
// service.
type UpstreamID string

// HostID identifies an entry host.
type HostID string

// DomainID identifies a failure domain.
type DomainID string

// RegionID identifies a region.
type RegionID string

// Version orders the revisions of one list. A higher version is newer; 0 means
// that there is no list.
type Version uint64

// Tier ranks plans. Tier 1 is the highest.
type Tier int

// The range of tiers.
const (
	HighestTier Tier = 1
	LowestTier  Tier = 8
)

// Duration is a time.Duration that is encoded in JSON as a string in the syntax
// of time.ParseDuration, for example "540ms" or "10s".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalJSON encodes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON decodes a string such as "540ms". For any other input it
// returns a ValueError.
func (d *Duration) UnmarshalJSON(raw []byte) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return &ValueError{Field: "duration", Value: string(raw), Want: `a string such as "540ms"`}
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		return &ValueError{Field: "duration", Value: text, Want: `a number with a unit, such as "540ms"`}
	}
	*d = Duration(duration)
	return nil
}
