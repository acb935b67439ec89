package ratelimit

import (
	"cmp"
	"net/netip"
	"slices"
	"strconv"
	"sync"

	"mulberrydyke/plan"
	"mulberrydyke/route"
)

// maxParts is the number of parts that a rate is divided into, each in a failure domain of
// its own. More would make the parts of low rates too small to use.
const maxParts = 3

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
	// hosts holds the hosts of each domain that were seen lately.
	hosts map[plan.DomainID][]netip.Addr
	// found holds the results of find since the last call of SetHosts.
	found map[Key][]holder
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
	h := &Holders{self: self, domain: domain, domains: slices.Clone(domains)}
	h.SetHosts(nil)
	return h
}

// SetHosts replaces the other hosts that were seen lately.
func (h *Holders) SetHosts(others map[plan.DomainID][]netip.Addr) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hosts = map[plan.DomainID][]netip.Addr{}
	for d, list := range others {
		h.hosts[d] = list
	}
	h.hosts[h.domain] = append(slices.Clone(others[h.domain]), h.self)
	for d := range h.hosts {
		if !slices.Contains(h.domains, d) {
			h.domains = append(h.domains, d)
		}
	}
	h.found = map[Key][]holder{}
}

// Parts returns the number of parts that each rate is divided into.
func (h *Holders) Parts() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.parts()
}

func (h *Holders) parts() int { return min(maxParts, len(h.domains)) }

// find returns the holders of an upstream's rate. h.mu must be held.
func (h *Holders) find(k Key) []holder {
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
		for _, a := range h.hosts[d] {
			if hash := route.Hash(key, a.String()); !first.addr.IsValid() || hash < lowest {
				first.addr, lowest = a, hash
			}
		}
		out = append(out, first)
	}
	h.found[k] = out
	return out
}

// Of returns the hosts to ask for a permit: the one in this host's failure domain first, the
// others in an order that differs between hosts.
func (h *Holders) Of(k Key) []netip.Addr {
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
func (h *Holders) InOwnDomain(k Key) (netip.Addr, int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, x := range h.find(k) {
		if x.domain == h.domain {
			return x.addr, i
		}
	}
	return netip.Addr{}, 0
}
