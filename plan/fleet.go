package plan

import (
	"fmt"
	"net/netip"
)

// Presence says whether a host or an upstream takes new work.
type Availability string

// Presences of a host or an upstream. What is not listed is gone.
const (
	Live    Availability = "live"
	Leaving Availability = "leaving"
)

// UpstreamKind tells engines from plain services.
type UpstreamKind string

// Kinds of upstream.
const (
	Engine       UpstreamKind = "engine"
	PlainService UpstreamKind = "service"
)

// Upstreams is the platform's list of back ends.
type Upstreams struct {
	Version   Version    `json:"version"`
	Upstreams []Upstream `json:"upstreams"`
}

// Upstream is one back end.
type Upstream struct {
	// ID is unique in the list.
	ID UpstreamID `json:"id"`
	// Address is an IP number with a port.
	Address string       `json:"address"`
	Domain  DomainID     `json:"domain"`
	Kind    UpstreamKind `json:"kind"`
	// Models are what an engine serves.
	Models []ModelID `json:"models,omitempty"`
	// Service is what an upstream of kind Plain serves.
	Service ServiceID `json:"service,omitempty"`
	// Slots is the number of requests that the upstream is sized for. Above 0.
	Slots int `json:"slots"`
	// ChecksFencing says whether the upstream refuses orders with an old
	// fencing number.
	ChecksFencing bool         `json:"checks-fencing,omitempty"`
	State         Availability `json:"state"`
}

// Hosts is the platform's lagging list of entry hosts.
type Hosts struct {
	Version Version `json:"version"`
	Hosts   []Host  `json:"hosts"`
}

// Host is one entry host.
type Host struct {
	// ID is unique in the list.
	ID HostID `json:"id"`
	// Peer is the IP number and port of the host's listener for peers.
	Peer   string       `json:"peer"`
	Domain DomainID     `json:"domain"`
	Region RegionID     `json:"region"`
	State  Availability `json:"state"`
}

// DecodeUpstreams reads and checks a list of upstreams.
func DecodeUpstreams(raw []byte) (*Upstreams, error) {
	var u Upstreams
	if err := decode(KindUpstreams, raw, &u); err != nil {
		return nil, err
	}
	return &u, nil
}

// DecodeHosts reads and checks a list of hosts.
func DecodeHosts(raw []byte) (*Hosts, error) {
	var h Hosts
	if err := decode(KindHosts, raw, &h); err != nil {
		return nil, err
	}
	return &h, nil
}

func (u *Upstreams) check(c *check) {
	c.that(u.Version > 0, "a number above 0", "version", u.Version)
	seen := make(map[UpstreamID]bool, len(u.Upstreams))
	for i, up := range u.Upstreams {
		at := fmt.Sprintf("upstreams[%d]", i)
		c.that(up.ID != "" && !seen[up.ID], "a unique name", at+".id", up.ID)
		c.that(isAddress(up.Address), "an IP number with a port", at+".address", up.Address)
		c.that(up.Kind == Engine || up.Kind == PlainService, `"engine" or "service"`, at+".kind", up.Kind)
		c.that(up.Kind != PlainService || up.Service != "", "the name of a service", at+".service", up.Service)
		c.that(up.Slots > 0 && up.Slots <= 4096, "1 to 4096", at+".slots", up.Slots)
		c.that(isPresence(up.State), `"live" or "leaving"`, at+".state", up.State)
		seen[up.ID] = true
	}
}

func (h *Hosts) check(c *check) {
	c.that(h.Version > 0, "a number above 0", "version", h.Version)
	seen := make(map[HostID]bool, len(h.Hosts))
	for i, host := range h.Hosts {
		at := fmt.Sprintf("hosts[%d]", i)
		c.that(host.ID != "" && !seen[host.ID], "a unique name", at+".id", host.ID)
		c.that(isAddress(host.Peer), "an IP number with a port", at+".peer", host.Peer)
		c.that(host.Domain != "", "the name of a failure domain", at+".domain", host.Domain)
		c.that(isPresence(host.State), `"live" or "leaving"`, at+".state", host.State)
		seen[host.ID] = true
	}
}

func isPresence(p Availability) bool { return p == Live || p == Leaving }

func isAddress(text string) bool {
	a, err := netip.ParseAddrPort(text)
	return err == nil && a.Port() != 0
}
