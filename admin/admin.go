// Package admin implements the HTTP API for operators and auditors: metrics, health
// checks, the state of the host, the lists in force and recent decisions. The API is
// read-only, since operators control the system through the lists alone.
package admin

import (
	"io"
	"net/http"
	"strconv"

	"github.com/zeromicro/go-zero/rest"

	"mulberrydyke/audit"
	"mulberrydyke/member"
	"mulberrydyke/plan"
	"mulberrydyke/pool"
	"mulberrydyke/web"
)

// Host provides the data that the API returns.
type Host interface {
	// Ready reports whether the load balancer may send requests to the host.
	Ready() bool
	// Status returns the state of the host.
	Status() Status
	// Lists returns the lists in force.
	Lists() Lists
	// Decisions returns up to limit decisions, newest first.
	Decisions(limit int) []audit.Decision
	// WriteMetrics writes all metrics in the Prometheus text format.
	WriteMetrics(io.Writer)
}

// Status is the state of a host.
type Status struct {
	Host           member.Identity `json:"host"`
	Ready          bool            `json:"ready"`
	Leaving        bool            `json:"leaving"`
	PlatformReader bool            `json:"platform-reader"`
	Versions       plan.Versions   `json:"versions"`
	// Rejected gives, by list, why the last published version is not in force.
	Rejected map[plan.ListKind]string `json:"rejected"`
	Hosts    []member.Host            `json:"hosts"`
	// Pools are the pools whose schedulers run on the host.
	Pools         []pool.Status  `json:"pools"`
	Suspects      []pool.Suspect `json:"suspects"`
	Running       int64          `json:"running"`
	HomeTickets   int            `json:"home-tickets"`
	BackupTickets int            `json:"backup-tickets"`
}

// Lists holds the lists in force. It contains no key hashes.
type Lists struct {
	Versions     plan.Versions      `json:"versions"`
	Plans        []plan.Plan        `json:"plans"`
	Accounts     []Account          `json:"accounts"`
	Entitlements *plan.Entitlements `json:"entitlements"`
	Upstreams    []plan.Upstream    `json:"upstreams"`
	Hosts        []plan.Host        `json:"hosts"`
}

// Account is a client account without its key hashes.
type Account struct {
	ID   plan.AccountID `json:"id"`
	Plan plan.PlanID    `json:"plan"`
}

// Limits of the number of decisions in one response.
const (
	defaultDecisionLimit = 100
	maxDecisionLimit     = 10000
)

// Handler returns the HTTP handler of the API for a host.
func Handler(h Host) (http.Handler, error) {
	return web.Handler([]rest.Route{
		{Method: http.MethodGet, Path: "/metrics", Handler: func(w http.ResponseWriter, _ *http.Request) { h.WriteMetrics(w) }},
		{Method: http.MethodGet, Path: "/healthz", Handler: func(http.ResponseWriter, *http.Request) {}},
		{Method: http.MethodGet, Path: "/readyz", Handler: func(w http.ResponseWriter, _ *http.Request) { serveReadiness(w, h) }},
		{Method: http.MethodGet, Path: "/v1/status", Handler: func(w http.ResponseWriter, _ *http.Request) {
			web.WriteJSON(w, http.StatusOK, h.Status())
		}},
		{Method: http.MethodGet, Path: "/v1/lists", Handler: func(w http.ResponseWriter, _ *http.Request) {
			web.WriteJSON(w, http.StatusOK, h.Lists())
		}},
		{Method: http.MethodGet, Path: "/v1/decisions", Handler: func(w http.ResponseWriter, r *http.Request) { serveDecisions(w, r, h) }},
	}, http.NotFound)
}

// serveReadiness responds with status 503 if the host is not ready.
func serveReadiness(w http.ResponseWriter, h Host) {
	if !h.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
	}
}

// serveDecisions responds with the most recent decisions. The query parameter "most"
// limits their number.
func serveDecisions(w http.ResponseWriter, r *http.Request, h Host) {
	limit := defaultDecisionLimit
	if value := r.URL.Query().Get("most"); value != "" {
		n, err := strconv.Atoi(value)
		if err != nil || n < 1 || n > maxDecisionLimit {
			http.Error(w, "most: want 1 to 10000", http.StatusBadRequest)
			return
		}
		limit = n
	}
	web.WriteJSON(w, http.StatusOK, h.Decisions(limit))
}
