package host

import (
	"io"
	"time"

	"mulberrydyke/admin"
	"mulberrydyke/audit"
)

// adminView implements admin.Host for a Host.
type adminView struct {
	host *Host
}

// Ready reports whether the load balancer may send requests to this host.
func (v *adminView) Ready() bool { return v.host.Ready() }

// WriteMetrics writes all metrics in the Prometheus text format.
func (v *adminView) WriteMetrics(w io.Writer) { v.host.metrics.WritePrometheus(w) }

// Decisions returns up to limit decisions, newest first.
func (v *adminView) Decisions(limit int) []audit.Decision { return v.host.auditTrail.Recent(limit) }

// Status returns the state of the host.
func (v *adminView) Status() admin.Status {
	h := v.host
	home, backup := h.tickets.Counts()
	return admin.Status{
		Host: h.fleet.Self(), Ready: h.Ready(), Leaving: h.leaving.Load(), PlatformReader: h.isPlatformReader(),
		Versions: h.State().Versions(), Rejected: h.lists.rejections(), Hosts: h.fleet.hosts(),
		Pools: h.local.Statuses(), Suspects: h.local.KnownSuspects(time.Now()), Running: h.entry.Running(),
		HomeTickets: home, BackupTickets: backup,
	}
}

// Lists returns the lists in force, without key hashes.
func (v *adminView) Lists() admin.Lists {
	state := v.host.State()
	lists := admin.Lists{
		Versions: state.Versions(), Plans: state.Plans.Plans, Entitlements: state.Entitlements,
		Upstreams: state.Upstreams.Upstreams, Hosts: state.Hosts.Hosts,
	}
	for _, a := range state.Plans.Accounts {
		lists.Accounts = append(lists.Accounts, admin.Account{ID: a.ID, Plan: a.Plan})
	}
	return lists
}
