package host

import (
	"io"
	"time"

	"mulberrydyke/admin"
	"mulberrydyke/audit"
)

// view shows the host to operators.
type view struct {
	host *Host
}

// Ready says whether the balancer may send callers here.
func (v *view) Ready() bool { return v.host.Ready() }

// WriteMetrics writes the metrics as text.
func (v *view) WriteMetrics(w io.Writer) { v.host.metrics.WritePrometheus(w) }

// Decisions returns the most recent decisions.
func (v *view) Decisions(most int) []audit.Decision { return v.host.trail.Recent(most) }

// Status describes the host.
func (v *view) Status() admin.Status {
	h := v.host
	home, backup := h.tickets.Counts()
	return admin.Status{
		Host: h.fleet.Self(), Ready: h.Ready(), Leaving: h.leaving.Load(), PlatformReader: h.isReader(),
		Versions: h.State().Versions(), Rejected: h.lists.rejections(), Hosts: h.fleet.hosts(),
		Pools: h.local.Statuses(), Suspects: h.local.Known(time.Now()), Running: h.entry.Running(),
		HomeTickets: home, BackupTickets: backup,
	}
}

// Lists returns the lists in force.
func (v *view) Lists() admin.Lists {
	s := v.host.State()
	out := admin.Lists{
		Versions: s.Versions(), Plans: s.Plans.Plans, Entitlements: s.Entitlements,
		Upstreams: s.Upstreams.Upstreams, Hosts: s.Hosts.Hosts,
	}
	for _, a := range s.Plans.Accounts {
		out.Accounts = append(out.Accounts, admin.Account{ID: a.ID, Plan: a.Plan})
	}
	return out
}
