package capacity

import (
	"fmt"
	"time"
)

const (
	day = 24 * time.Hour
	// heartbeatInterval is the interval between heartbeats in a domain of up to
	// hostsPerHeartbeatStep hosts. Each further hostsPerHeartbeatStep hosts add
	// the same time to it.
	heartbeatInterval     = 500 * time.Millisecond
	hostsPerHeartbeatStep = 16
	// meanRunSeconds is the mean duration of a run: 370 tokens of 30 ms each.
	meanRunSeconds = 11.0
	// ticketFraction is the fraction of requests that run at most once and so need
	// a ticket. ticketRetention is how long a ticket is kept.
	ticketFraction  = 0.05
	ticketRetention = 20 * time.Minute
	// packetOverheadBytes is the size of the TCP and IP headers of a message and
	// its acknowledgement.
	packetOverheadBytes = 2 * 52.0
	// platformReaders is the number of hosts per domain that watch the platform.
	platformReaders = 2
	// watchWait is how long a watch waits at the platform.
	watchWait     = 20 * time.Second
	listKindCount = 4
)

// RoleCosts computes the cost of each role at the given size from measured unit
// costs.
func RoleCosts(costs []UnitCost, size Size) []RoleCost {
	byNameAndUnit := map[string]UnitCost{}
	for _, c := range costs {
		byNameAndUnit[c.Name+"/"+c.Unit] = c
	}
	requestsPerHost := size.RequestsPerSecond / float64(size.Hosts)
	hostsPerDomain := float64(size.Hosts) / float64(size.Domains)
	roles := []RoleCost{
		heartbeatRole(byNameAndUnit["heartbeat/exchange, both ends"], byNameAndUnit["membership/host known; look at a domain of 53"], size, hostsPerDomain),
		entryRole(byNameAndUnit["remote grant/request, both ends"], byNameAndUnit["metrics/account; time of one request"], size, requestsPerHost),
		schedulerRole("scheduler, mean pool", byNameAndUnit, size.RequestsPerSecond/float64(size.Models*size.Domains)),
		schedulerRole("scheduler, a domain's whole traffic in one pool", byNameAndUnit, size.RequestsPerSecond/float64(size.Domains)),
		ticketRole(byNameAndUnit, requestsPerHost),
		listRole(costs, size),
		loadReportRole(byNameAndUnit["load report/read"]),
	}
	return append(roles, hostTotal(roles))
}

// cpuFraction returns the fraction of one core that calls at a given rate use.
func cpuFraction(perCall time.Duration, callsPerSecond float64) float64 {
	return perCall.Seconds() * callsPerSecond
}

// heartbeatRole returns the cost of membership: heartbeats to every other host of
// the host's own domain and to one host of each other domain, received as often
// as sent. Each request counts as four lookups in the membership table.
func heartbeatRole(exchange, membership UnitCost, size Size, hostsPerDomain float64) RoleCost {
	interval := heartbeatInterval.Seconds() * float64((int(hostsPerDomain)+hostsPerHeartbeatStep-1)/hostsPerHeartbeatStep)
	exchanges := (hostsPerDomain - 1 + float64(size.Domains-1)) / interval
	return RoleCost{
		Name:                  "membership",
		CPUFraction:           cpuFraction(exchange.CPUTime, exchanges) + cpuFraction(membership.CPUTime, 4*size.RequestsPerSecond/float64(size.Hosts)),
		MemoryBytes:           membership.MemoryBytes * float64(size.Hosts),
		NetworkBytesPerSecond: exchanges * 2 * (exchange.NetworkBytes + 2*packetOverheadBytes) / 2,
		Note:                  fmt.Sprintf("%.0f exchanges/s sent and as many received, every %.1f s", exchanges, interval),
	}
}

// entryRole returns the cost of a host's control work for the requests that it
// accepts from callers: for each, a call that asks the scheduler for a slot, a
// report of the result, and the metrics.
func entryRole(grant, metrics UnitCost, size Size, requestsPerSecond float64) RoleCost {
	return RoleCost{
		Name:                  "entry, control of requests",
		CPUFraction:           cpuFraction(grant.CPUTime/2+metrics.CPUTime, requestsPerSecond),
		MemoryBytes:           metrics.MemoryBytes * float64(size.Accounts),
		NetworkBytesPerSecond: requestsPerSecond * (grant.NetworkBytes + 2*packetOverheadBytes),
		Note:                  fmt.Sprintf("%.1f requests/s, each an ask and a report; histograms of all accounts", requestsPerSecond),
	}
}

// schedulerRole returns the cost of the scheduler of a pool with the given
// request rate. Each request is counted as held for 4 s in addition to its run.
func schedulerRole(name string, byNameAndUnit map[string]UnitCost, requestsPerSecond float64) RoleCost {
	scheduling, held, grant := byNameAndUnit["scheduler/request, 86 upstreams"], byNameAndUnit["scheduler/request held"], byNameAndUnit["remote grant/request, both ends"]
	return RoleCost{
		Name:                  name,
		CPUFraction:           cpuFraction(scheduling.CPUTime+grant.CPUTime/2, requestsPerSecond),
		MemoryBytes:           held.MemoryBytes * requestsPerSecond * (meanRunSeconds + 4),
		NetworkBytesPerSecond: requestsPerSecond * (grant.NetworkBytes + 2*packetOverheadBytes),
		Note:                  fmt.Sprintf("%.0f requests/s, %.0f held", requestsPerSecond, requestsPerSecond*(meanRunSeconds+4)),
	}
}

// ticketRole returns the cost of being the home and the backup of tickets.
func ticketRole(byNameAndUnit map[string]UnitCost, requestsPerSecond float64) RoleCost {
	home, backup := byNameAndUnit["ticket home/ticket used, without its answer"], byNameAndUnit["ticket backup/intent"]
	ticketsPerSecond := requestsPerSecond * ticketFraction
	return RoleCost{
		Name:                  "ticket home and backup",
		CPUFraction:           cpuFraction(home.CPUTime+backup.CPUTime, ticketsPerSecond),
		MemoryBytes:           (home.MemoryBytes + backup.MemoryBytes) * ticketsPerSecond * ticketRetention.Seconds(),
		NetworkBytesPerSecond: 2 * ticketsPerSecond * (backup.NetworkBytes + packetOverheadBytes),
		Note:                  fmt.Sprintf("%.2f tickets/s (1 in 20 requests), held for %s; kept answers are bounded by ticket-bytes", ticketsPerSecond, ticketRetention),
	}
}

// loadReadsPerSecond is the maximum rate at which a host reads load reports.
const loadReadsPerSecond = 10

// loadReportRole returns the cost of reading load reports.
func loadReportRole(read UnitCost) RoleCost {
	return RoleCost{
		Name:                  "load reports",
		CPUFraction:           cpuFraction(read.CPUTime, loadReadsPerSecond),
		NetworkBytesPerSecond: loadReadsPerSecond * (read.NetworkBytes + packetOverheadBytes),
		Note:                  fmt.Sprintf("%d reads/s at the most, of hosts that run schedulers", loadReadsPerSecond),
	}
}

// listRole returns the cost of adopting new versions of lists. Two versions are
// in memory while a new one replaces the old. The start or stop of a host counts
// as two changes of lists.
func listRole(costs []UnitCost, size Size) RoleCost {
	r := RoleCost{Name: "lists"}
	changesPerSecond := (size.ListChangesPerDay + size.HostChangesPerDay*2) / day.Seconds()
	for _, c := range costs {
		if len(c.Name) > 5 && c.Name[:5] == "list " {
			r.CPUFraction += cpuFraction(c.CPUTime, changesPerSecond)
			r.MemoryBytes += 2 * c.MemoryBytes
			r.NetworkBytesPerSecond += changesPerSecond * c.NetworkBytes
		}
	}
	r.Note = fmt.Sprintf("%.4f changes/s of every list; two versions held while one is taken up; platform: %.1f calls/s in all",
		changesPerSecond, PlatformCallsPerSecond(size))
	return r
}

// PlatformCallsPerSecond returns the rate of calls that all hosts together make
// to the platform: watches that time out, watches that a change ends, and the
// reads of hosts that start.
func PlatformCallsPerSecond(size Size) float64 {
	watches := float64(size.Domains * platformReaders * listKindCount)
	changesPerSecond := (size.ListChangesPerDay + size.HostChangesPerDay*2) / day.Seconds()
	readsAtStart := size.HostChangesPerDay / day.Seconds() * listKindCount
	return watches/watchWait.Seconds() + changesPerSecond*float64(size.Domains*platformReaders) + readsAtStart
}

// hostTotal returns the cost of a host with every role except the scheduler of
// a pool that takes all the traffic of a domain (index 3).
func hostTotal(roles []RoleCost) RoleCost {
	sum := RoleCost{Name: "host with the scheduler of a mean pool", Note: "sum without the hot pool"}
	for i, r := range roles {
		if i == 3 {
			continue
		}
		sum.CPUFraction += r.CPUFraction
		sum.MemoryBytes += r.MemoryBytes
		sum.NetworkBytesPerSecond += r.NetworkBytesPerSecond
	}
	return sum
}
