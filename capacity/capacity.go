// Package capacity measures the cost of each role of a host per request, per
// host or per list version, and extrapolates from these unit costs to a
// deployment of a given size. Reports call the unit costs slopes.
// docs/CAPACITY.md holds the results.
package capacity

import (
	"fmt"
	"io"
	"runtime"
	"syscall"
	"text/tabwriter"
	"time"
)

// UnitCost is a measured cost per unit of work or state.
type UnitCost struct {
	Name string `json:"name"`
	// Unit names what the cost is for, such as one request.
	Unit string `json:"unit"`
	// CPUTime is the CPU time per unit. For a call, it includes both ends.
	CPUTime time.Duration `json:"processor-ns"`
	// MemoryBytes is the heap memory that stays allocated.
	MemoryBytes float64 `json:"memory-bytes"`
	// NetworkBytes is the number of bytes sent and received.
	NetworkBytes float64 `json:"traffic-bytes"`
}

// Size is the size and load of a deployment.
type Size struct {
	Hosts, Domains, Upstreams, Accounts, Models int
	// RequestsPerSecond is the peak request rate.
	RequestsPerSecond float64
	// HostChangesPerDay counts hosts that start or stop. ListChangesPerDay counts
	// changes of lists.
	HostChangesPerDay, ListChangesPerDay float64
}

// PlannedSize returns the size that the users expect within two years.
func PlannedSize() Size {
	return Size{
		Hosts: 370, Domains: 7, Upstreams: 600, Accounts: 560, Models: 13,
		RequestsPerSecond: 4600, HostChangesPerDay: 287, ListChangesPerDay: 470,
	}
}

// Budget limits the resources that a host may spend on control work.
type Budget struct {
	// CPUFraction is a fraction of one core.
	CPUFraction                        float64
	MemoryBytes, NetworkBytesPerSecond float64
}

// HostBudget returns the users' budget for one host.
func HostBudget() Budget {
	return Budget{CPUFraction: 0.021, MemoryBytes: 128 << 20, NetworkBytesPerSecond: 22_000}
}

// RoleCost is the cost of one role of a host in a deployment of a given size.
type RoleCost struct {
	Name string `json:"name"`
	// CPUFraction is a fraction of one core.
	CPUFraction           float64 `json:"processor"`
	MemoryBytes           float64 `json:"memory-bytes"`
	NetworkBytesPerSecond float64 `json:"traffic-bytes-per-second"`
	// Note explains how the figures follow from the unit costs.
	Note string `json:"note"`
}

// measure runs call n times and returns the CPU time and the retained heap bytes
// per run. The caller must keep what call allocates alive until measure returns,
// for example with runtime.KeepAlive, or it is not counted.
func measure(n int, call func(i int)) (time.Duration, float64) {
	var memBefore, memAfter runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memBefore)
	cpuBefore := cpuTime()
	for i := range n {
		call(i)
	}
	used := cpuTime() - cpuBefore
	runtime.GC()
	runtime.ReadMemStats(&memAfter)
	retained := float64(memAfter.HeapAlloc) - float64(memBefore.HeapAlloc)
	return used / time.Duration(n), max(0, retained/float64(n))
}

// cpuTime returns the user and system CPU time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// Measure measures all unit costs.
func Measure() ([]UnitCost, error) {
	costs := []UnitCost{schedulingCost(), heldRequestCost(), membershipCost(), ticketHomeCost(), ticketBackupCost(), metricsCost()}
	lists, err := listCosts()
	if err != nil {
		return nil, err
	}
	calls, err := peerCallCosts()
	if err != nil {
		return nil, err
	}
	loadReport, err := loadReportCost()
	if err != nil {
		return nil, err
	}
	return append(append(append(costs, lists...), calls...), loadReport), nil
}

// WriteReport writes the unit costs and the costs of the roles as tables.
func WriteReport(w io.Writer, costs []UnitCost, roles []RoleCost, budget Budget) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "SLOPE\tPER\tPROCESSOR\tMEMORY\tTRAFFIC")
	for _, c := range costs {
		fmt.Fprintf(t, "%s\t%s\t%s\t%.0f B\t%.0f B\n", c.Name, c.Unit, c.CPUTime, c.MemoryBytes, c.NetworkBytes)
	}
	fmt.Fprintf(t, "\nROLE\tPROCESSOR (of %.1f%%)\tMEMORY (of %.0f MB)\tTRAFFIC (of %.0f KB/s)\tHOW\n",
		100*budget.CPUFraction, budget.MemoryBytes/(1<<20), budget.NetworkBytesPerSecond/1000)
	for _, r := range roles {
		fmt.Fprintf(t, "%s\t%.3f%%\t%.2f MB\t%.2f KB/s\t%s\n", r.Name, 100*r.CPUFraction, r.MemoryBytes/(1<<20), r.NetworkBytesPerSecond/1000, r.Note)
	}
	return t.Flush()
}
