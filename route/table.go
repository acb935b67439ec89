// Package route holds the routing table that operators publish: which request
// goes to which service, what may be repeated, and which account a key belongs
// to. It also holds the list of upstreams that serve those services.
//
// All values are immutable once built, so that a request keeps the table that
// it was decided under.
package route

import (
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"mulberrydyke/plan"
)

// Name names one route.
type Name string

// Kind says what may be repeated.
type Kind int

// Kinds of route.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Stream requests are answered by a series of events.
	Stream
)

// String returns the kind's name in logs.
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

// Split is one share of a route's traffic.
type Split struct {
	Service plan.ServiceID
	// Weight is relative to the other shares of the route. Never negative.
	Weight int
}

// Route is one entry of the table.
type Route struct {
	Name Name
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Target is the latency within which an answer, or the first event of a
	// stream, is on time.
	LatencyTarget time.Duration
	// TargetGap is the longest pause between two events of a stream that is on
	// time. Zero where the route does not say.
	EventGapTarget time.Duration
	// Priority is the route's rank. 0 is the highest.
	Priority int
	// Attempts is the most upstreams on which one request may run. At least 1.
	MaxAttempts int
	// Anonymous routes need no key.
	Anonymous bool
	// Affinity says that requests carry the parts of their prompt.
	PrefixAffinity bool
	// Resumable streams may go on at another upstream.
	Resumable bool
	// Splits is never empty.
	Splits []Split
}

// Repeatable says whether a request of the route may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Pick returns the service for a request. The same draw, 0 to 1, gives the same
// service while the splits stay.
func (r *Route) PickService(draw float64) plan.ServiceID {
	total := 0
	for _, s := range r.Splits {
		total += s.Weight
	}
	rest := draw * float64(total)
	for _, s := range r.Splits {
		rest -= float64(s.Weight)
		if rest < 0 {
			return s.Service
		}
	}
	return r.Splits[len(r.Splits)-1].Service
}

// Allows says whether the route may send requests to a service.
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
	// HealthPath is where an upstream answers health checks.
	HealthPath string
	// Connections is the most that one upstream accepts from all hosts
	// together. Zero means that no bound is known.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine is what the operators say of the model engines of a service.
type Engine struct {
	// Slots is how many requests one engine runs at once.
	Slots int
	// CacheTokens is the memory of one engine.
	CacheTokens int
	// EventTokens is how many tokens one event of a stream holds. At least 1.
	TokensPerEvent int
}

// Limits bounds what callers may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Account is one customer of the fleet.
type Account struct {
	ID plan.AccountID
	// Priority replaces the route's, where HasPriority is set.
	Priority    int
	HasPriority bool
}

// Table is one version of the routing table.
type Table struct {
	Version  plan.Version
	Limits   Limits
	Services map[plan.ServiceID]*Service
	// hosts maps a host name to its routes, the longest prefix first.
	hosts map[string][]*Route
	// keys maps the hash of a key to the accounts whose keys have that hash.
	keys  map[string]*Account
	count int
}

// NewTable builds a table. Accounts maps keys to their holders; a nil map means
// that no request needs a key.
func NewTable(version plan.Version, limits Limits, routes []*Route, services []*Service, accounts map[string]*Account) *Table {
	t := &Table{
		Version: version, Limits: limits, keys: accounts, count: len(routes),
		Services: make(map[plan.ServiceID]*Service, len(services)),
		hosts:    make(map[string][]*Route),
	}
	for _, s := range services {
		t.Services[s.ID] = s
	}
	for _, r := range routes {
		name := strings.ToLower(r.Host)
		t.hosts[name] = append(t.hosts[name], r)
	}
	for _, list := range t.hosts {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	return t
}

// Routes returns the number of routes.
func (t *Table) RouteCount() int { return t.count }

// Match returns the route with the longest prefix that begins the path, or nil.
// The port of host is ignored.
func (t *Table) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// NeedsKey says whether requests of the route must carry a key.
func (t *Table) NeedsKey(r *Route) bool { return t.keys != nil && !r.Anonymous }

// Holder returns the account that holds a key, or nil.
func (t *Table) AccountForKey(key string) *Account { return t.keys[key] }

// Hash mixes parts into a number that is the same on every host.
func Hash(parts ...string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, p := range parts {
		_, _ = d.WriteString(p) // never fails
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// Draw turns a hash into a number from 0 up to 1.
func UnitFraction(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }
