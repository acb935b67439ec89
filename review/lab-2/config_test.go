//go:build review

package lab

// Names of the configuration of all cases.
const (
	engineService = "pool-1"
	plainService  = "desk-1"
	hostName      = "ficu95.example"
	streamPrefix  = "/lohu930/"
	queryPrefix   = "/pufi791/"
	unsafePrefix  = "/pule252/"
	safePrefix    = "/puxa403/"
	apiKey        = "xd9dnn2ctnfzs989anu6"
	tenant        = "huka270"
)

// routeConfig is a route of the configuration.
type routeConfig struct {
	Name            string  `json:"name"`
	Host            string  `json:"host"`
	Prefix          string  `json:"prefix"`
	Kind            string  `json:"kind"`
	TimeoutMs       float64 `json:"timeoutMs"`
	TargetLatencyMs float64 `json:"targetLatencyMs"`
	TargetGapMs     float64 `json:"targetGapMs,omitempty"`
	Priority        int     `json:"priority"`
	Service         string  `json:"service"`
	MaxAttempts     int     `json:"maxAttempts"`
	AllowAnonymous  bool    `json:"allowAnonymous"`
	SessionAffinity bool    `json:"sessionAffinity"`
	StreamResume    bool    `json:"streamResume"`
}

// configuration returns what the operator writes to op/config. The figures are those of
// Blue Mahoe's sheet and of the examples of `fleetbench wire`.
func configuration(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []routeConfig{
			{Name: "r-clerk", Host: hostName, Prefix: queryPrefix, Kind: "streaming", TimeoutMs: 12000, TargetLatencyMs: 400, TargetGapMs: 300, Service: engineService, MaxAttempts: 2, SessionAffinity: true, StreamResume: true},
			{Name: "r-draft", Host: hostName, Prefix: streamPrefix, Kind: "streaming", TimeoutMs: 4000, TargetLatencyMs: 600, TargetGapMs: 500, Priority: 1, Service: engineService, MaxAttempts: 1, SessionAffinity: true},
			{Name: "r-print", Host: hostName, Prefix: unsafePrefix, Kind: "non_idempotent", TimeoutMs: 2000, TargetLatencyMs: 300, Priority: 2, Service: plainService, MaxAttempts: 1},
			{Name: "r-lookup", Host: hostName, Prefix: safePrefix, Kind: "idempotent", TimeoutMs: 2000, TargetLatencyMs: 300, Priority: 2, Service: plainService, MaxAttempts: 2},
		},
		"services": []map[string]any{
			{"name": engineService, "healthPath": "/health", "maxConnections": 370, "protocol": "h1", "tls": false,
				"engine": map[string]any{"slots": 64, "kvCapacityTokens": 271071, "kvTokenBytes": 18432, "stride": 6, "models": []map[string]any{{"name": "m"}}}},
			{"name": plainService, "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": tenant, "apiKeys": []string{apiKey}, "priority": 1}},
	}
}
