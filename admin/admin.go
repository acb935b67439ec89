// Package admin serves operators and auditors: metrics, health, and a view of
// what the host knows and decided. It changes nothing, since operators control
// the system by lists alone.
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

// Host is what the administration API shows.
type Host interface {
	Ready() bool
	Status() Status
	Lists() Lists
	Decisions(most int) []audit.Decision
	WriteMetrics(io.Writer)
}

// Status describes a host.
type Status struct {
	Host           member.Self   `json:"host"`
	Ready          bool          `json:"ready"`
	Leaving        bool          `json:"leaving"`
	PlatformReader bool          `json:"platform-reader"`
	Versions       plan.Versions `json:"versions"`
	// Rejected gives, by list, why the published one is not in force.
	Rejected map[plan.Kind]string `json:"rejected"`
	Hosts    []member.Host        `json:"hosts"`
	// Pools are those whose schedulers run here.
	Pools         []pool.Status  `json:"pools"`
	Suspects      []pool.Suspect `json:"suspects"`
	Running       int64          `json:"running"`
	HomeTickets   int            `json:"home-tickets"`
	BackupTickets int            `json:"backup-tickets"`
}

// Lists are the lists in force. Key hashes are left out.
type Lists struct {
	Versions     plan.Versions      `json:"versions"`
	Plans        []plan.Plan        `json:"plans"`
	Accounts     []Account          `json:"accounts"`
	Entitlements *plan.Entitlements `json:"entitlements"`
	Upstreams    []plan.Upstream    `json:"upstreams"`
	Hosts        []plan.Host        `json:"hosts"`
}

// Account is an account without its keys.
type Account struct {
	ID   plan.AccountID `json:"id"`
	Plan plan.PlanID    `json:"plan"`
}

const (
	decisionsDefault = 100
	decisionsMost    = 10000
)

// Handler returns the routes for operators.
func Handler(h Host) (http.Handler, error) {
	return web.Handler([]rest.Route{
		{Method: http.MethodGet, Path: "/metrics", Handler: func(w http.ResponseWriter, _ *http.Request) { h.WriteMetrics(w) }},
		{Method: http.MethodGet, Path: "/healthz", Handler: func(http.ResponseWriter, *http.Request) {}},
		{Method: http.MethodGet, Path: "/readyz", Handler: func(w http.ResponseWriter, _ *http.Request) { ready(w, h) }},
		{Method: http.MethodGet, Path: "/v1/status", Handler: func(w http.ResponseWriter, _ *http.Request) {
			web.WriteJSON(w, http.StatusOK, h.Status())
		}},
		{Method: http.MethodGet, Path: "/v1/lists", Handler: func(w http.ResponseWriter, _ *http.Request) {
			web.WriteJSON(w, http.StatusOK, h.Lists())
		}},
		{Method: http.MethodGet, Path: "/v1/decisions", Handler: func(w http.ResponseWriter, r *http.Request) { decisions(w, r, h) }},
	}, http.NotFound)
}

func ready(w http.ResponseWriter, h Host) {
	if !h.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
	}
}

func decisions(w http.ResponseWriter, r *http.Request, h Host) {
	most := decisionsDefault
	if text := r.URL.Query().Get("most"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > decisionsMost {
			http.Error(w, "most: want 1 to 10000", http.StatusBadRequest)
			return
		}
		most = n
	}
	web.WriteJSON(w, http.StatusOK, h.Decisions(most))
}
