// Package route holds the routing table that operators publish: which service a
// request goes to, which requests may be sent again, and which account an API key
// belongs to. It also holds the list of upstreams that run the services.
//
// All values are immutable once built, so that a request can keep using the table
// that its routing decision was made with.
package route

import (
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"mulberrydyke/plan"
)

// Name is the name of a route.
type Name string

// Kind tells whether requests of a route may be sent again, and the form of
// their responses.
type Kind int

// Kinds of route.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Stream requests get a series of events as their response.
	Stream
)

// String returns the name of the kind that logs use.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case NonIdempotent:
		return "non-idempotent"
	case Stream:
		return "stream"
	}
	return "unknown"
}

// Split is a service's share of the traffic of a route.
type Split struct {
	Service plan.ServiceID
	// Weight is relative to the other splits of the route. It is never negative.
	Weight int
}

// Route is an entry of the routing table.
type Route struct {
	Name Name
	Host string
	// Prefix is a path prefix that begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// LatencyTarget is the latency within which a response, or the first event of a
	// stream, is on time.
	LatencyTarget time.Duration
	// EventGapTarget is the longest gap between two events with which a stream is
	// still on time. Zero means that the route sets none.
	EventGapTarget time.Duration
	// Priority is the priority of the route's requests. 0 is the highest.
	Priority int
	// MaxAttempts is the number of upstreams on which one request may run. It is
	// at least 1.
	MaxAttempts int
	// Anonymous routes need no API key.
	Anonymous bool
	// PrefixAffinity is set if requests list the parts of their prompt.
	PrefixAffinity bool
	// Resumable streams may continue on another upstream.
	Resumable bool
	// Splits is never empty.
	Splits []Split
}

// Retryable reports whether a request of the route may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// PickService returns the service for a request. The same fraction, in [0, 1),
// gives the same service as long as the splits don't change.
func (r *Route) PickService(fraction float64) plan.ServiceID {
	total := 0
	for _, s := range r.Splits {
		total += s.Weight
	}
	remaining := fraction * float64(total)
	for _, s := range r.Splits {
		remaining -= float64(s.Weight)
		if remaining < 0 {
			return s.Service
		}
	}
	return r.Splits[len(r.Splits)-1].Service
}

// Allows reports whether the route may send requests to a service.
func (r *Route) Allows(service plan.ServiceID) bool {
	for _, s := range r.Splits {
		if s.Service == service && s.Weight > 0 {
			return true
		}
	}
	return false
}

// Service is a group of upstreams that serve the same requests.
type Service struct {
	ID plan.ServiceID
	// HealthPath is the path at which an upstream responds to health checks.
	HealthPath string
	// MaxConnections is the number of connections that one upstream accepts from
	// all hosts together. Zero means that no limit is known.
	MaxConnections int
	// ColdStart is how long an upstream is cold after its start.
	ColdStart time.Duration
	// ColdRate is the number of requests per second that a cold upstream takes from all hosts
	// together. Zero means that cold upstreams have no limit.
	ColdRate float64
	// Engine is nil for plain services, which run no model.
	Engine *Engine
}

// Engine holds the operators' settings for the inference engines of a service.
type Engine struct {
	// Slots is the number of requests that one engine runs concurrently.
	Slots int
	// CacheTokens is the capacity of one engine's KV cache, in tokens.
	CacheTokens int
	// TokensPerEvent is the number of tokens in one event of a stream. It is at
	// least 1.
	TokensPerEvent int
}

// Limits bounds the requests that callers may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Account is a client account.
type Account struct {
	ID plan.AccountID
	// Priority replaces the route's priority if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Table is one version of the routing table.
type Table struct {
	Version  plan.Version
	Limits   Limits
	Services map[plan.ServiceID]*Service
	// routesByHost maps a lower-case host name to its routes, the longest prefix
	// first.
	routesByHost map[string][]*Route
	// accountsByKey maps an API key to its account. It is nil if no request needs
	// a key.
	accountsByKey map[string]*Account
	routeCount    int
}

// NewTable returns a table. The accounts are keyed by API key; if the map is nil,
// no request needs a key.
func NewTable(version plan.Version, limits Limits, routes []*Route, services []*Service, accounts map[string]*Account) *Table {
	t := &Table{
		Version: version, Limits: limits, accountsByKey: accounts, routeCount: len(routes),
		Services:     make(map[plan.ServiceID]*Service, len(services)),
		routesByHost: make(map[string][]*Route),
	}
	for _, s := range services {
		t.Services[s.ID] = s
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], r)
	}
	for _, hostRoutes := range t.routesByHost {
		sort.SliceStable(hostRoutes, func(i, j int) bool { return len(hostRoutes[i].Prefix) > len(hostRoutes[j].Prefix) })
	}
	return t
}

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int { return t.routeCount }

// Match returns the route of a host with the longest prefix of a path, or nil. It
// ignores the port of host.
func (t *Table) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range t.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// NeedsKey reports whether requests of the route must carry an API key.
func (t *Table) NeedsKey(r *Route) bool { return t.accountsByKey != nil && !r.Anonymous }

// AccountForKey returns the account that an API key belongs to, or nil.
func (t *Table) AccountForKey(key string) *Account { return t.accountsByKey[key] }

// Hash returns a hash of the parts that is the same on every host.
func Hash(parts ...string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for _, p := range parts {
		_, _ = digest.WriteString(p) // WriteString never fails
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}

// UnitFraction maps a hash to a number in [0, 1).
func UnitFraction(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }
