package capacity

import (
	"fmt"
	"time"
)

const (
	day = 24 * time.Hour
	// beatSmall is the interval of heartbeats in a domain of up to beatHosts.
	beatSmall = 500 * time.Millisecond
	beatHosts = 16
	// runSeconds is the mean time of a run: 370 tokens of 30 ms.
	runSeconds = 11.0
	// ticketPart is the part of requests that run at most once, ticketLife how
	// long a ticket is held.
	ticketPart = 0.05
	ticketHeld = 20 * time.Minute
	// packet is what TCP and IP add to a message and its acknowledgement.
	packet = 2 * 52.0
	// readers is the number of hosts per domain that watch the platform.
	readers = 2
	// watchTime is how long a watch waits at the platform.
	watchTime = 20 * time.Second
	listKinds = 4
)

// Roles works out each role's cost at a size from measured slopes.
func RoleCosts(slopes []UnitCost, z Size) []RoleCost {
	by := map[string]UnitCost{}
	for _, s := range slopes {
		by[s.Name+"/"+s.Unit] = s
	}
	perHost := z.RequestsPerSecond / float64(z.Hosts)
	domain := float64(z.Hosts) / float64(z.Domains)
	out := []RoleCost{
		beatRole(by["heartbeat/exchange, both ends"], by["membership/host known; look at a domain of 53"], z, domain),
		entryRole(by["remote grant/request, both ends"], by["metrics/account; time of one request"], z, perHost),
		schedulerRole("scheduler, mean pool", by, z.RequestsPerSecond/float64(z.Models*z.Domains)),
		schedulerRole("scheduler, a domain's whole traffic in one pool", by, z.RequestsPerSecond/float64(z.Domains)),
		ticketRole(by, perHost),
		listRole(slopes, z),
		loadRole(by["load report/read"]),
	}
	return append(out, total(out))
}

func part(d time.Duration, perSecond float64) float64 { return d.Seconds() * perSecond }

// beatRole is membership: heartbeats to each host of the own domain and one of
// each other, received as often as sent.
func beatRole(beat, table UnitCost, z Size, domain float64) RoleCost {
	interval := beatSmall.Seconds() * float64((int(domain)+beatHosts-1)/beatHosts)
	exchanges := (domain - 1 + float64(z.Domains-1)) / interval
	return RoleCost{
		Name:                  "membership",
		CPUFraction:           part(beat.CPUTime, exchanges) + part(table.CPUTime, 4*z.RequestsPerSecond/float64(z.Hosts)),
		MemoryBytes:           table.MemoryBytes * float64(z.Hosts),
		NetworkBytesPerSecond: exchanges * 2 * (beat.NetworkBytes + 2*packet) / 2,
		Note:                  fmt.Sprintf("%.0f exchanges/s sent and as many received, every %.1f s", exchanges, interval),
	}
}

func entryRole(grant, metrics UnitCost, z Size, perHost float64) RoleCost {
	return RoleCost{
		Name:                  "entry, control of requests",
		CPUFraction:           part(grant.CPUTime/2+metrics.CPUTime, perHost),
		MemoryBytes:           metrics.MemoryBytes * float64(z.Accounts),
		NetworkBytesPerSecond: perHost * (grant.NetworkBytes + 2*packet),
		Note:                  fmt.Sprintf("%.1f requests/s, each an ask and a report; histograms of all accounts", perHost),
	}
}

func schedulerRole(name string, by map[string]UnitCost, perSecond float64) RoleCost {
	turn, held, grant := by["scheduler/request, 86 upstreams"], by["scheduler/request held"], by["remote grant/request, both ends"]
	return RoleCost{
		Name:                  name,
		CPUFraction:           part(turn.CPUTime+grant.CPUTime/2, perSecond),
		MemoryBytes:           held.MemoryBytes * perSecond * (runSeconds + 4),
		NetworkBytesPerSecond: perSecond * (grant.NetworkBytes + 2*packet),
		Note:                  fmt.Sprintf("%.0f requests/s, %.0f held", perSecond, perSecond*(runSeconds+4)),
	}
}

func ticketRole(by map[string]UnitCost, perHost float64) RoleCost {
	home, backup := by["ticket home/ticket used, without its answer"], by["ticket backup/intent"]
	rate := perHost * ticketPart
	return RoleCost{
		Name:                  "ticket home and backup",
		CPUFraction:           part(home.CPUTime+backup.CPUTime, rate),
		MemoryBytes:           (home.MemoryBytes + backup.MemoryBytes) * rate * ticketHeld.Seconds(),
		NetworkBytesPerSecond: 2 * rate * (backup.NetworkBytes + packet),
		Note:                  fmt.Sprintf("%.2f tickets/s (1 in 20 requests), held for %s; kept answers are bounded by ticket-bytes", rate, ticketHeld),
	}
}

// loadsPerSecond is how many load reports a host reads.
const loadsPerSecond = 10

func loadRole(read UnitCost) RoleCost {
	return RoleCost{
		Name:                  "load reports",
		CPUFraction:           part(read.CPUTime, loadsPerSecond),
		NetworkBytesPerSecond: loadsPerSecond * (read.NetworkBytes + packet),
		Note:                  fmt.Sprintf("%d reads/s at the most, of hosts that run schedulers", loadsPerSecond),
	}
}

func listRole(slopes []UnitCost, z Size) RoleCost {
	r := RoleCost{Name: "lists"}
	changes := (z.ListChangesPerDay + z.HostChangesPerDay*2) / day.Seconds()
	for _, s := range slopes {
		if len(s.Name) > 5 && s.Name[:5] == "list " {
			r.CPUFraction += part(s.CPUTime, changes)
			r.MemoryBytes += 2 * s.MemoryBytes
			r.NetworkBytesPerSecond += changes * s.NetworkBytes
		}
	}
	r.Note = fmt.Sprintf("%.4f changes/s of every list; two versions held while one is taken up; platform: %.1f calls/s in all",
		changes, PlatformCallsPerSecond(z))
	return r
}

// PlatformCalls returns the calls per second that all hosts make to the
// platform together: waiting watches, those that changes wake, and the reads of
// hosts that start.
func PlatformCallsPerSecond(z Size) float64 {
	watches := float64(z.Domains * readers * listKinds)
	changes := (z.ListChangesPerDay + z.HostChangesPerDay*2) / day.Seconds()
	starts := z.HostChangesPerDay / day.Seconds() * listKinds
	return watches/watchTime.Seconds() + changes*float64(z.Domains*readers) + starts
}

// total is a host with every role but the scheduler of the hot pool.
func total(roles []RoleCost) RoleCost {
	t := RoleCost{Name: "host with the scheduler of a mean pool", Note: "sum without the hot pool"}
	for i, r := range roles {
		if i == 3 {
			continue
		}
		t.CPUFraction += r.CPUFraction
		t.MemoryBytes += r.MemoryBytes
		t.NetworkBytesPerSecond += r.NetworkBytesPerSecond
	}
	return t
}
