package upstream

import (
	"encoding/json"
	"time"

	"mulberrydyke/plan"
)

// Load is the load report of an engine.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// KVCacheUsage is the used fraction of the KV cache, 0 or more.
	KVCacheUsage float64 `json:"memory"`
	// AgeMS is the age of the report in milliseconds when it was sent.
	AgeMS int64 `json:"age-ms"`
}

// Age returns how old the report was when it was sent.
func (l Load) Age() time.Duration { return time.Duration(l.AgeMS) * time.Millisecond }

// DecodeLoad decodes and validates a load report.
func DecodeLoad(raw []byte) (Load, error) {
	var l Load
	if err := json.Unmarshal(raw, &l); err != nil {
		return Load{}, err
	}
	if l.KVCacheUsage < 0 || l.AgeMS < 0 || l.Running < 0 || l.Waiting < 0 {
		return Load{}, &plan.ValueError{Field: "load", Value: string(raw), Want: "numbers of 0 or more"}
	}
	return l, nil
}
