package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"mulberrydyke/plan"
	"mulberrydyke/route"
)

// UpstreamKey identifies an upstream in reports. It is a hash of the upstream's
// ID.
type UpstreamKey uint32

// noUpstream is a key that no upstream has.
const noUpstream UpstreamKey = math.MaxUint32

// KeyOf returns the key of an upstream.
func KeyOf(id plan.UpstreamID) UpstreamKey {
	return UpstreamKey(route.Hash(string(id)) % uint64(noUpstream))
}

// Load counts the requests and prompt tokens on one upstream, and sums up the
// measurements of its speed.
type Load struct {
	_        struct{} `cbor:",toarray"`
	Upstream UpstreamKey
	Short    int
	Long     int
	Plain    int
	// PendingTokens counts the prompt tokens that are not prefilled yet.
	PendingTokens int
	// ArrivalRate is the recent rate of prompt tokens sent to the upstream, in
	// tokens per second.
	ArrivalRate int
	// Waiting counts the requests without a first event, and OverdueMs is the sum of the times
	// in milliseconds by which they have waited longer than their own prefill takes.
	Waiting, OverdueMs int
	// Speed holds the recent measurements of the upstream's speed: for each load band,
	// up to the last that has any, the weight of the measurements and the sum of their
	// differences from what is expected.
	Speed []int
}

// ServiceReport holds what a host, a group or a domain reports of one service.
type ServiceReport struct {
	_       struct{} `cbor:",toarray"`
	Service plan.ServiceID
	// WantedShortEngines is how many engines for short prompts the sender needs.
	// In the report of the rest of the fleet it is the number of the receiver's
	// domain, and RemoteWantedShort lists those of the other domains.
	WantedShortEngines int
	RemoteWantedShort  []int
	// Prefill is the measured prefill timing of the service's engines.
	Prefill PrefillTiming
	// Sent counts the requests that the sender recently sent to the service.
	Sent SendCounts
}

// SendCounts counts the requests sent to a service in the current retry window.
type SendCounts struct {
	_ struct{} `cbor:",toarray"`
	// FirstAttempts counts requests sent for the first time, Retries those sent
	// again.
	FirstAttempts, Retries int
}

// plus returns the sum of two counts.
func (s SendCounts) plus(o SendCounts) SendCounts {
	return SendCounts{FirstAttempts: s.FirstAttempts + o.FirstAttempts, Retries: s.Retries + o.Retries}
}

// DomainAge tells when a failure domain was last heard from.
type DomainAge struct {
	_      struct{} `cbor:",toarray"`
	Domain plan.DomainID
	// Age is the age of the domain's last report.
	Age time.Duration
}

// Report describes the load of one host, of a group of hosts, of a domain, or of
// the rest of the fleet. A large report is split into parts that are applied
// independently of each other.
type Report struct {
	_ struct{} `cbor:",toarray"`
	// Part is the index of the part. Part 0 replaces all services of the report,
	// later parts add to them.
	Part int
	// First and Last bound the keys of the upstreams that the part describes.
	// Upstreams between them that are not listed have no load. A Last of zero
	// means that there is no upper bound.
	First, Last UpstreamKey
	// Loads is sorted by upstream.
	Loads    []Load
	Services []ServiceReport
	// Down lists the upstreams that the sender has ejected because it could not
	// reach them. An upstream is listed once for each host that has ejected it, up
	// to downQuorum times.
	Down []UpstreamKey
	// Domains lists the domains that the report of the rest of the fleet includes.
	Domains []DomainAge
}

// last returns the highest key that the part describes.
func (r *Report) last() UpstreamKey {
	if r.Last == 0 {
		return noUpstream
	}
	return r.Last
}

// covers reports whether the part describes an upstream.
func (r *Report) covers(key UpstreamKey) bool { return key >= r.First && key <= r.last() }

// addLoad adds the load of an upstream and the measurements of its speed, unless there
// are none.
func (r *Report) addLoad(key UpstreamKey, load loadCounts, sums reportedSums) {
	speed := sums.encode()
	if load.running() == 0 && load.arrivalRate < 1 && len(speed) == 0 {
		return
	}
	r.Loads = append(r.Loads, Load{
		Upstream: key, Short: load.short, Long: load.long, Plain: load.plain, PendingTokens: load.pendingTokens, ArrivalRate: int(load.arrivalRate),
		Waiting: load.waiting, OverdueMs: int(min(load.overdueMs, maxReportedOverdueMs)), Speed: speed,
	})
}

// addDown adds an upstream that a number of hosts have ejected.
func (r *Report) addDown(key UpstreamKey, votes int) {
	for range min(votes, downQuorum) {
		r.Down = append(r.Down, key)
	}
}

// addService adds the report of a service, unless it is empty.
func (r *Report) addService(report ServiceReport) {
	if report.WantedShortEngines > 0 || len(report.RemoteWantedShort) > 0 || report.Sent != (SendCounts{}) {
		r.Services = append(r.Services, report)
	}
}

// sort sorts the loads and the upstreams that are down by key.
func (r *Report) sort() {
	slices.SortFunc(r.Loads, func(x, y Load) int { return cmp.Compare(x.Upstream, y.Upstream) })
	slices.Sort(r.Down)
}

// replacePart replaces the part of the report that a newer part describes.
func (r *Report) replacePart(part Report) {
	r.Loads = slices.DeleteFunc(r.Loads, func(l Load) bool { return part.covers(l.Upstream) })
	r.Loads = append(r.Loads, part.Loads...)
	r.Down = slices.DeleteFunc(r.Down, part.covers)
	r.Down = append(r.Down, part.Down...)
	if part.Part == 0 {
		r.Services, r.Domains = nil, nil
	}
	for _, s := range part.Services {
		r.Services = slices.DeleteFunc(r.Services, func(x ServiceReport) bool { return x.Service == s.Service })
		r.Services = append(r.Services, s)
	}
	for _, d := range part.Domains {
		r.Domains = slices.DeleteFunc(r.Domains, func(x DomainAge) bool { return x.Domain == d.Domain })
		r.Domains = append(r.Domains, d)
	}
}

// Upper bounds of the encoded size of the elements of a report, in bytes, without
// the names that they contain.
const (
	maxLoadBytes    = 35
	maxServiceBytes = 72
	maxKeyBytes     = 5
	maxDomainBytes  = 14
	maxIntBytes     = 5
	// maxSumBytes is the size of a weight or sum of measurements in range.
	maxSumBytes = 3
)

// Split splits the report into parts of at most maxBytes when encoded. Half of
// that has to hold any single element.
func (r Report) Split(maxBytes int) []Report {
	r.sort()
	var parts []Report
	first := UpstreamKey(0)
	for {
		part := Report{Part: len(parts), First: first}
		left := maxBytes - r.moveServices(&part, maxBytes/2)
		r.moveLoads(&part, left)
		next, more := r.firstKey()
		if more {
			part.Last = next - 1
		}
		parts = append(parts, part)
		if !more && len(r.Services) == 0 && len(r.Domains) == 0 {
			return parts
		}
		first = next
	}
}

// moveServices moves as many services and domains as fit into maxBytes to a part,
// and returns their size.
func (r *Report) moveServices(part *Report, maxBytes int) int {
	size := 0
	for len(r.Services) > 0 {
		s := &r.Services[0]
		bytes := maxServiceBytes + len(s.Service) + maxIntBytes*len(s.RemoteWantedShort)
		if size+bytes > maxBytes && size > 0 {
			return size
		}
		part.Services, r.Services, size = append(part.Services, *s), r.Services[1:], size+bytes
	}
	for len(r.Domains) > 0 {
		bytes := maxDomainBytes + len(r.Domains[0].Domain)
		if size+bytes > maxBytes && size > 0 {
			return size
		}
		part.Domains, r.Domains, size = append(part.Domains, r.Domains[0]), r.Domains[1:], size+bytes
	}
	return size
}

// moveLoads moves what is known of as many upstreams as fit into maxBytes to a
// part, in the order of their keys.
func (r *Report) moveLoads(part *Report, maxBytes int) {
	for size := 0; ; {
		key, ok := r.firstKey()
		size += maxLoadBytes + downQuorum*maxKeyBytes
		if len(r.Loads) > 0 && r.Loads[0].Upstream == key {
			size += sumBytes(r.Loads[0].Speed)
		}
		if !ok || size > maxBytes {
			return
		}
		if len(r.Loads) > 0 && r.Loads[0].Upstream == key {
			part.Loads, r.Loads = append(part.Loads, r.Loads[0]), r.Loads[1:]
		}
		for len(r.Down) > 0 && r.Down[0] == key {
			part.Down, r.Down = append(part.Down, key), r.Down[1:]
		}
	}
}

// sumBytes returns the size of sums of measurements in CBOR, without the head of the list.
func sumBytes(list []int) int {
	size := 0
	for _, v := range list {
		switch {
		case v >= -24 && v < 24:
			size++
		case v >= -256 && v < 256:
			size += 2
		case v >= -1<<16 && v < 1<<16:
			size += maxSumBytes
		default:
			size += maxIntBytes
		}
	}
	return size
}

// firstKey returns the lowest key of the loads and the upstreams that are down. If
// there is none, it returns false and a key that no upstream has.
func (r *Report) firstKey() (UpstreamKey, bool) {
	key := noUpstream
	if len(r.Loads) > 0 {
		key = min(key, r.Loads[0].Upstream)
	}
	if len(r.Down) > 0 {
		key = min(key, r.Down[0])
	}
	return key, key != noUpstream
}
