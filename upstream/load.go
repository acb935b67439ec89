package upstream

import (
	"encoding/json"
	"time"

	"mulberrydyke/plan"
)

// Load is an engine's report of its load.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Memory is the used part of the KV memory, 0 or more.
	KVCacheUsage float64 `json:"memory"`
	// AgeMS is the age of the report in milliseconds.
	AgeMS int64 `json:"age-ms"`
}

// Age returns how old the report is.
func (l Load) Age() time.Duration { return time.Duration(l.AgeMS) * time.Millisecond }

// DecodeLoad reads and checks a load report.
func DecodeLoad(raw []byte) (Load, error) {
	var l Load
	if err := json.Unmarshal(raw, &l); err != nil {
		return Load{}, err
	}
	if l.KVCacheUsage < 0 || l.AgeMS < 0 || l.Running < 0 || l.Waiting < 0 {
		return Load{}, &plan.ValueError{Field: "load", Value: string(raw), Valid: "numbers of 0 or more"}
	}
	return l, nil
}
