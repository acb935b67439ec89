//go:build review

package lab

// routeOf returns a route of the configuration.
func routeOf(name, prefix, kind, service string, timeoutMs, targetMs, attempts int, resume bool) map[string]any {
	return map[string]any{
		"name": name, "host": "ficu95.example", "prefix": prefix, "kind": kind, "service": service,
		"timeoutMs": timeoutMs, "targetLatencyMs": targetMs, "targetGapMs": 200, "priority": 1, "maxAttempts": attempts, "streamResume": resume,
		"sessionAffinity": kind == "streaming",
	}
}

// configuration returns a configuration like that of the small deployment: two services, and a route of each
// kind.
func configuration(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			routeOf("blazon-draft", "/blazon/", "streaming", "pool", 5000, 500, 1, false),
			routeOf("patron-letter", "/letter/", "streaming", "pool", 15000, 300, 2, true),
			routeOf("commission-place", "/place/", "non_idempotent", "api", 1500, 100, 1, false),
			routeOf("commission-status", "/status/", "idempotent", "api", 1500, 100, 3, false),
		},
		"services": []any{
			map[string]any{"name": "pool", "healthPath": "/health", "maxConnections": 360, "engine": map[string]any{"slots": 64, "kvCapacityTokens": 456957, "stride": 4}},
			map[string]any{"name": "api", "healthPath": "/health", "maxConnections": 96},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1048576, "headerTimeoutMs": 5000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "huka270", "apiKeys": []string{apiKey}}},
	}
}
