// Package finding finds what is wrong with an operators' configuration before it is
// sent to the hosts, and how it differs from the one in force. It decides only: it
// reads no files and has no clock.
//
// route.Table can't serve here, since it keeps neither duplicates nor what is absent.
package finding

import (
	"time"

	"mulberrydyke/plan"
	"mulberrydyke/route"
)

// Configuration is an operators' configuration as it is written, with all duplicates.
type Configuration struct {
	// Version is nil if the configuration names none.
	Version  *plan.Version
	Limits   route.Limits
	Routes   []Route
	Services []Service
	// Accounts is nil if the configuration has no list of accounts, in which case no
	// request needs a key. An empty list accepts no key.
	Accounts []Account
}

// Route is a route as it is written.
type Route struct {
	Name   route.Name
	Host   string
	Prefix string
	// Kind is the kind that hosts use.
	Kind route.Kind
	// WrittenKind is the kind as it is written. UnknownKind is set if hosts don't know it.
	WrittenKind string
	UnknownKind bool

	Timeout        time.Duration
	LatencyTarget  time.Duration
	EventGapTarget time.Duration
	Priority       int
	MaxAttempts    int
	Anonymous      bool
	PrefixAffinity bool
	Resumable      bool
	// Service gets all traffic if Splits is empty.
	Service plan.ServiceID
	Splits  []Split
}

// Split is a service's share of the traffic of a route.
type Split struct {
	Service plan.ServiceID
	// Weight is the weight as it is written.
	Weight float64
	// Share is the weight that hosts use, which is rounded towards zero.
	Share int
}

// Service is a service as it is written.
type Service struct {
	ID             plan.ServiceID
	HealthPath     string
	MaxConnections int
	ColdStart      time.Duration
	// ColdRate is in requests per second.
	ColdRate float64
	// Engine is nil for services that run no model.
	Engine *route.Engine
}

// Key is an API key of an account. It is never printed whole.
type Key string

// shownKeyLength is the largest number of characters of a key that are shown.
const shownKeyLength = 4

// String returns the first characters of the key, of short ones at most half.
func (k Key) String() string {
	characters := []rune(string(k))
	shown := min(shownKeyLength, len(characters)/2)
	return string(characters[:shown]) + "..."
}

// Account is a client account as it is written.
type Account struct {
	ID   plan.AccountID
	Keys []Key
	// Priority is nil if the account leaves the priority to the route.
	Priority *int
}

// splits returns the services that the route names, with their shares.
func (r *Route) splits() []Split {
	if len(r.Splits) == 0 && r.Service != "" {
		return []Split{{Service: r.Service, Weight: 1, Share: 1}}
	}
	return r.Splits
}

// retryable reports whether a request of the route may run more than once.
func (r *Route) retryable() bool {
	return (&route.Route{Kind: r.Kind, Resumable: r.Resumable}).Retryable()
}
