package ratelimit

import (
	"cmp"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"mulberrydyke/plan"
	"mulberrydyke/route"
)

// maxParts is the number of parts that a rate is divided into, each in a failure domain of
// its own. More would make the parts of low rates too small to use.
const maxParts = 3

// hostTTL is how long a host that can't be heard keeps its parts. It may be cut off and go
// on giving out permits, so another host must not take its place soon. A host that stops as
// planned says so.
const hostTTL = 10 * time.Minute

// Holders finds the hosts that give out the parts of each upstream's rate: in each of up to
// maxParts failure domains the one that rendezvous hashing names. All hosts that were seen
// lately count, whether they can be reached or not, and all domains that the settings name,
// so that no part grows while hosts or domains are cut off. It is safe for concurrent use.
type Holders struct {
	self   netip.Addr
	domain plan.DomainID
	mu     sync.Mutex
	// domains holds the failure domains of the settings, and those of hosts that were ever
	// seen.
	domains []plan.DomainID
	// hosts holds the hosts of each domain that were seen within hostTTL, and when each was.
	hosts map[plan.DomainID]map[netip.Addr]time.Time
	// leaving is set while this host stops.
	leaving bool
	// found holds the results of find since the hosts last changed.
	found map[route.ProcessKey][]holder
}

// holder is the host that gives out one part.
type holder struct {
	domain plan.DomainID
	// addr is not valid while no host of the domain is known.
	addr netip.Addr
}

// NewHolders returns the Holders of a host in a failure domain. The list holds all domains
// that the settings name.
func NewHolders(self netip.Addr, domain plan.DomainID, domains []plan.DomainID) *Holders {
	h := &Holders{self: self, domain: domain, domains: slices.Clone(domains), hosts: map[plan.DomainID]map[netip.Addr]time.Time{}, found: map[route.ProcessKey][]holder{}}
	if !slices.Contains(domains, domain) {
		h.domains = append(h.domains, domain)
	}
	return h
}

// SetHosts tells which other hosts are known now, and which of all hosts said that they are
// leaving, which give out nothing any more.
func (h *Holders) SetHosts(now time.Time, others map[plan.DomainID][]netip.Addr, leaving map[netip.Addr]bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for d, list := range others {
		for _, a := range list {
			h.see(now, d, a)
		}
	}
	for d, seen := range h.hosts {
		for a, at := range seen {
			if leaving[a] || now.Sub(at) > hostTTL {
				delete(h.hosts[d], a)
			}
		}
	}
	h.found = map[route.ProcessKey][]holder{}
}

// see records that a host was seen. h.mu must be held.
func (h *Holders) see(now time.Time, d plan.DomainID, a netip.Addr) {
	if h.hosts[d] == nil {
		h.hosts[d] = map[netip.Addr]time.Time{}
	}
	h.hosts[d][a] = now
	if !slices.Contains(h.domains, d) {
		h.domains = append(h.domains, d)
	}
}

// knowsOtherHost reports whether this host has seen any other host of its domain.
func (h *Holders) knowsOtherHost() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.hosts[h.domain]) > 0
}

// Leave makes this host give out no more permits, because it stops.
func (h *Holders) Leave() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaving = true
	h.found = map[route.ProcessKey][]holder{}
}

// Parts returns the number of parts that each rate is divided into.
func (h *Holders) Parts() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.parts()
}

func (h *Holders) parts() int { return min(maxParts, len(h.domains)) }

// find returns the holders of an upstream's rate. h.mu must be held.
func (h *Holders) find(k route.ProcessKey) []holder {
	if found, ok := h.found[k]; ok {
		return found
	}
	key := strconv.FormatUint(uint64(k), 16)
	domains := slices.Clone(h.domains)
	slices.SortFunc(domains, func(a, b plan.DomainID) int {
		return cmp.Compare(route.Hash(key, string(a)), route.Hash(key, string(b)))
	})
	var out []holder
	for _, d := range domains[:h.parts()] {
		first := holder{domain: d}
		lowest := uint64(0)
		consider := func(a netip.Addr) {
			if hash := route.Hash(key, a.String()); !first.addr.IsValid() || hash < lowest {
				first.addr, lowest = a, hash
			}
		}
		for a := range h.hosts[d] {
			consider(a)
		}
		if d == h.domain && !h.leaving {
			consider(h.self)
		}
		out = append(out, first)
	}
	h.found[k] = out
	return out
}

// Of returns the hosts to ask for a permit: the one in this host's failure domain first, the
// others in an order that differs between hosts.
func (h *Holders) Of(k route.ProcessKey) []netip.Addr {
	h.mu.Lock()
	defer h.mu.Unlock()
	var own, others []netip.Addr
	for _, x := range h.find(k) {
		switch {
		case !x.addr.IsValid():
		case x.domain == h.domain:
			own = append(own, x.addr)
		default:
			others = append(others, x.addr)
		}
	}
	if n := len(others); n > 1 && route.Hash(h.self.String())%2 == 1 {
		slices.Reverse(others)
	}
	return append(own, others...)
}

// InOwnDomain returns the holder of the part that falls to this host's failure domain, and
// the number of the part, counted from zero. The holder is not valid if none does.
func (h *Holders) InOwnDomain(k route.ProcessKey) (netip.Addr, int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, x := range h.find(k) {
		if x.domain == h.domain {
			return x.addr, i
		}
	}
	return netip.Addr{}, 0
}
