package standin

import (
	"time"

	"mulberrydyke/plan"
)

// EngineOptions configures a simulated engine.
type EngineOptions struct {
	// Name identifies the engine in its ledger and its instance names.
	Name string
	// MaxBatchSize limits how many requests run concurrently. Further requests
	// wait in a queue.
	MaxBatchSize int
	// StepTime is the time to generate one token while a single request runs.
	StepTime time.Duration
	// StepSlowdown is the fraction of StepTime that each further request in the
	// batch adds to a step.
	StepSlowdown float64
	// PromptTokensPerSecond is the rate at which prompts are processed.
	PromptTokensPerSecond float64
	// KVCacheTokens is the size of the KV cache in tokens.
	KVCacheTokens int
	// PrefixCacheBlocks is the number of prompt blocks that the prefix cache holds.
	PrefixCacheBlocks int
	// ReportLag is the minimum age of a reported load sample.
	ReportLag time.Duration
}

// DefaultEngineOptions returns the options of a small engine.
func DefaultEngineOptions(name string) EngineOptions {
	return EngineOptions{
		Name: name, MaxBatchSize: 16, StepTime: 10 * time.Millisecond, StepSlowdown: 0.05,
		PromptTokensPerSecond: 20000, KVCacheTokens: 200_000, PrefixCacheBlocks: 1024,
		ReportLag: 500 * time.Millisecond,
	}
}

// EngineFaults selects the faults that an engine simulates.
type EngineFaults struct {
	// Refuse rejects every request with status 503 before it runs.
	Refuse bool `json:"refuse"`
	// Draining makes the engine say in its responses that it is draining. It goes on
	// running what it gets.
	Draining bool `json:"draining"`
	// Hang stops all progress but keeps connections open.
	Hang bool `json:"silent"`
	// ResetAfterTokens resets the connection of every new stream after this many
	// tokens. Resumed streams are not affected. Zero means never.
	ResetAfterTokens int `json:"reset"`
	// SlowFactor multiplies the time of each step. Zero means 1.
	SlowFactor float64 `json:"slow"`
	// PoisonText crashes the engine when a prompt contains it. Empty means never.
	PoisonText string `json:"poison"`
	// Down closes every connection without a response.
	Down bool `json:"down"`
	// RestartTime is how long the engine is down after a crash. Zero means one
	// second.
	RestartTime plan.Duration `json:"restart"`
}

const (
	charsPerToken    = 4
	prefixBlockChars = 256
	maxFinished      = 1024 // finished requests that can still be resumed
)
