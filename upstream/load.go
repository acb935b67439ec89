package upstream

import (
	"encoding/json"
	"time"

	"mulberrydyke/plan"
)

// LoadReport is an engine's report of its load.
type LoadReport struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// KVCacheUsage is the used fraction of the KV cache, 0 or more.
	KVCacheUsage float64 `json:"memory"`
	// AgeMS is the age of the report in milliseconds when it was sent.
	AgeMS int64 `json:"age-ms"`
}

// Age returns how old the report was when it was sent.
func (l LoadReport) Age() time.Duration { return time.Duration(l.AgeMS) * time.Millisecond }

// DecodeLoadReport decodes and validates a load report.
func DecodeLoadReport(raw []byte) (LoadReport, error) {
	var l LoadReport
	if err := json.Unmarshal(raw, &l); err != nil {
		return LoadReport{}, err
	}
	if l.KVCacheUsage < 0 || l.AgeMS < 0 || l.Running < 0 || l.Waiting < 0 {
		return LoadReport{}, &plan.ValueError{Field: "load", Value: string(raw), Want: "numbers of 0 or more"}
	}
	return l, nil
}
