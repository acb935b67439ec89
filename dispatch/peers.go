package dispatch

import (
	"time"

	"mulberrydyke/plan"
	"mulberrydyke/route"
)

// reportLife is how long a peer's report counts.
const reportLife = 1500 * time.Millisecond

// UpstreamKey stands for an upstream in reports. It is a hash of its ID.
type UpstreamKey uint32

// KeyOf returns the key of an upstream.
func KeyOf(id plan.UpstreamID) UpstreamKey { return UpstreamKey(route.Hash(string(id))) }

// Load is what one host runs on one upstream.
type Load struct {
	_        struct{} `cbor:",toarray"`
	Upstream UpstreamKey
	Short    int
	Long     int
	Plain    int
	// Pending counts the prompt tokens that are not read yet.
	Pending int
}

// Rate is what one host says of the requests for one service.
type Rate struct {
	_       struct{} `cbor:",toarray"`
	Service plan.ServiceID
	// Tokens counts the arriving prompt tokens of long requests, a second.
	Tokens float64
	// Shorts is how many engines the host would have for short prompts.
	Shorts int
	// Samples are the host's measurements of the engines' speed.
	Samples Samples
}

// Report is what one host says of its work.
type Report struct {
	_     struct{} `cbor:",toarray"`
	Loads []Load
	Rates []Rate
}

// peerState is the newest report of one peer.
type peerState struct {
	report Report
	at     time.Time
}

// Report returns what this host runs.
func (c *Core) Report(now time.Time) Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peersChanged(now)
	var r Report
	for _, t := range c.targets {
		if t.own.running() == 0 {
			continue
		}
		r.Loads = append(r.Loads, Load{Upstream: t.key, Short: t.own.short, Long: t.own.long, Plain: t.own.plain, Pending: t.own.pending})
	}
	for id, g := range c.services {
		if g.wanted > 0 {
			r.Rates = append(r.Rates, Rate{Service: id, Tokens: g.rate(now), Shorts: g.wanted, Samples: g.samples})
		}
	}
	return r
}

// silentAfter is how long no host of another domain is heard before the domain
// counts as cut off. It is longer than one message's pause and a lost message.
const silentAfter = 700 * time.Millisecond

// silent says whether a domain's hosts were heard once and are not any more.
func (c *Core) silent(now time.Time, d plan.DomainID) bool {
	at, known := c.heard[d]
	return known && now.Sub(at) > silentAfter
}

// Heard takes up the report of a peer in a domain.
func (c *Core) Heard(now time.Time, peer plan.HostID, d plan.DomainID, r Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heard[d] = now
	c.peers[peer] = &peerState{report: r, at: now}
	c.peersChanged(now)
}

// peersChanged adds the peers' reports up anew. Old reports don't count.
func (c *Core) peersChanged(now time.Time) {
	byKey := make(map[UpstreamKey]*target, len(c.targets))
	for _, t := range c.targets {
		t.others = work{}
		byKey[t.key] = t
	}
	for _, g := range c.services {
		g.othersRate = 0
		g.othersWanted = g.othersWanted[:0]
		g.othersSamples = Samples{}
	}
	for id, p := range c.peers {
		if now.Sub(p.at) > reportLife {
			delete(c.peers, id)
			continue
		}
		for _, l := range p.report.Loads {
			if t := byKey[l.Upstream]; t != nil {
				t.others.add(work{short: l.Short, long: l.Long, plain: l.Plain, pending: l.Pending})
			}
		}
		for _, r := range p.report.Rates {
			if g := c.services[r.Service]; g != nil {
				g.othersRate += r.Tokens
				g.othersWanted = append(g.othersWanted, r.Shorts)
				g.othersSamples.add(&r.Samples)
			}
		}
	}
}
