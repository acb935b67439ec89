// Package capacity measures what each role of a host costs, as slopes per
// request, per host or per list entry, and works out what follows from them at
// a given size. docs/CAPACITY.md holds the result.
package capacity

import (
	"fmt"
	"io"
	"runtime"
	"syscall"
	"text/tabwriter"
	"time"
)

// Slope is one measured cost.
type UnitCost struct {
	Name string `json:"name"`
	// Unit says per what the costs are.
	Unit string `json:"unit"`
	// Processor is the processor time of all ends together, in nanoseconds.
	CPUTime time.Duration `json:"processor-ns"`
	// Memory is what stays allocated, in bytes.
	MemoryBytes float64 `json:"memory-bytes"`
	// Traffic is what goes over the network, both ways, in bytes.
	NetworkBytes float64 `json:"traffic-bytes"`
}

// Size is the size to work out costs for.
type Size struct {
	Hosts, Domains, Upstreams, Accounts, Models int
	// Requests is the number of requests per second at the peak.
	RequestsPerSecond float64
	// HostsChanged is the number of hosts that start or stop a day, Lists the
	// number of changes of lists a day.
	HostChangesPerDay, ListChangesPerDay float64
}

// LetterSize is the size that the users expect within two years.
func PlannedSize() Size {
	return Size{
		Hosts: 370, Domains: 7, Upstreams: 600, Accounts: 560, Models: 13,
		RequestsPerSecond: 4600, HostChangesPerDay: 287, ListChangesPerDay: 470,
	}
}

// Budget is what a host may spend for control.
type Budget struct {
	// Processor is a part of one core.
	CPUFraction float64
	// Memory is in bytes, Traffic in bytes per second.
	MemoryBytes, NetworkBytesPerSecond float64
}

// LetterBudget is the users' budget for one host.
func HostBudget() Budget {
	return Budget{CPUFraction: 0.021, MemoryBytes: 128 << 20, NetworkBytesPerSecond: 22_000}
}

// Role is the cost of one role of a host at a size.
type RoleCost struct {
	Name string `json:"name"`
	// Processor is a part of one core.
	CPUFraction           float64 `json:"processor"`
	MemoryBytes           float64 `json:"memory-bytes"`
	NetworkBytesPerSecond float64 `json:"traffic-bytes-per-second"`
	// Note says how the figures follow from the slopes.
	Note string `json:"note"`
}

// measure runs f n times and returns the processor time and the retained bytes
// of one run. What f keeps alive must be reachable from keep.
func measure(n int, f func(i int)) (time.Duration, float64) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	started := processorTime()
	for i := range n {
		f(i)
	}
	spent := processorTime() - started
	runtime.GC()
	runtime.ReadMemStats(&after)
	kept := float64(after.HeapAlloc) - float64(before.HeapAlloc)
	return spent / time.Duration(n), max(0, kept/float64(n))
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Measure measures every slope.
func Measure() ([]UnitCost, error) {
	out := []UnitCost{turnSlope(), queuedSlope(), membershipSlope(), homeSlope(), backupSlope(), metricSlope()}
	lists, err := listSlopes()
	if err != nil {
		return nil, err
	}
	links, err := linkSlopes()
	if err != nil {
		return nil, err
	}
	load, err := loadSlope()
	if err != nil {
		return nil, err
	}
	return append(append(append(out, lists...), links...), load), nil
}

// WriteReport writes slopes and roles as tables.
func WriteReport(w io.Writer, slopes []UnitCost, roles []RoleCost, b Budget) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "SLOPE\tPER\tPROCESSOR\tMEMORY\tTRAFFIC")
	for _, s := range slopes {
		fmt.Fprintf(t, "%s\t%s\t%s\t%.0f B\t%.0f B\n", s.Name, s.Unit, s.CPUTime, s.MemoryBytes, s.NetworkBytes)
	}
	fmt.Fprintf(t, "\nROLE\tPROCESSOR (of %.1f%%)\tMEMORY (of %.0f MB)\tTRAFFIC (of %.0f KB/s)\tHOW\n",
		100*b.CPUFraction, b.MemoryBytes/(1<<20), b.NetworkBytesPerSecond/1000)
	for _, r := range roles {
		fmt.Fprintf(t, "%s\t%.3f%%\t%.2f MB\t%.2f KB/s\t%s\n", r.Name, 100*r.CPUFraction, r.MemoryBytes/(1<<20), r.NetworkBytesPerSecond/1000, r.Note)
	}
	return t.Flush()
}
