package plan

import (
	"fmt"
	"net/netip"
)

// Availability is whether a listed host or upstream accepts new requests.
type Availability string

// The availability of a listed host or upstream. A live one accepts new
// requests; a leaving one finishes its running requests only. Hosts and
// upstreams that are not listed no longer exist.
const (
	Live    Availability = "live"
	Leaving Availability = "leaving"
)

// UpstreamKind distinguishes inference engines from plain services.
type UpstreamKind string

// The kinds of upstream.
const (
	Engine       UpstreamKind = "engine"
	PlainService UpstreamKind = "service"
)

// Upstreams is the platform's list of upstreams.
type Upstreams struct {
	Version   Version    `json:"version"`
	Upstreams []Upstream `json:"upstreams"`
}

// Upstream is an inference engine or an instance of a plain service.
type Upstream struct {
	// ID is unique in the list.
	ID UpstreamID `json:"id"`
	// Address is an IP address with a port.
	Address string       `json:"address"`
	Domain  DomainID     `json:"domain"`
	Kind    UpstreamKind `json:"kind"`
	// Models are the models that an engine serves.
	Models []ModelID `json:"models,omitempty"`
	// Service is the service that an upstream of kind PlainService serves.
	Service ServiceID `json:"service,omitempty"`
	// Slots is the number of concurrent requests that the upstream is sized
	// for, from 1 to 4096.
	Slots int `json:"slots"`
	// ChecksFencing reports whether the upstream rejects commands with an
	// outdated fencing token.
	ChecksFencing bool         `json:"checks-fencing,omitempty"`
	State         Availability `json:"state"`
}

// Hosts is the platform's list of entry hosts. It may lag behind the actual
// state of the fleet.
type Hosts struct {
	Version Version `json:"version"`
	Hosts   []Host  `json:"hosts"`
}

// Host is one entry host.
type Host struct {
	// ID is unique in the list.
	ID HostID `json:"id"`
	// Peer is the IP address and port of the host's peer listener.
	Peer   string       `json:"peer"`
	Domain DomainID     `json:"domain"`
	Region RegionID     `json:"region"`
	State  Availability `json:"state"`
}

// DecodeUpstreams decodes and validates a list of upstreams.
func DecodeUpstreams(raw []byte) (*Upstreams, error) {
	var u Upstreams
	if err := decode(KindUpstreams, raw, &u); err != nil {
		return nil, err
	}
	return &u, nil
}

// DecodeHosts decodes and validates a list of hosts.
func DecodeHosts(raw []byte) (*Hosts, error) {
	var h Hosts
	if err := decode(KindHosts, raw, &h); err != nil {
		return nil, err
	}
	return &h, nil
}

func (u *Upstreams) validate(v *validator) {
	v.require(u.Version > 0, "a number above 0", "version", u.Version)
	seen := make(map[UpstreamID]bool, len(u.Upstreams))
	for i, upstream := range u.Upstreams {
		path := fmt.Sprintf("upstreams[%d]", i)
		v.require(upstream.ID != "" && !seen[upstream.ID], "a non-empty name that is unique in the list", path+".id", upstream.ID)
		v.require(isAddrPort(upstream.Address), "an IP address with a port", path+".address", upstream.Address)
		v.require(upstream.Kind == Engine || upstream.Kind == PlainService, `"engine" or "service"`, path+".kind", upstream.Kind)
		v.require(upstream.Kind != PlainService || upstream.Service != "", "the name of a service", path+".service", upstream.Service)
		v.require(upstream.Slots > 0 && upstream.Slots <= 4096, "1 to 4096", path+".slots", upstream.Slots)
		v.require(isAvailability(upstream.State), `"live" or "leaving"`, path+".state", upstream.State)
		seen[upstream.ID] = true
	}
}

func (h *Hosts) validate(v *validator) {
	v.require(h.Version > 0, "a number above 0", "version", h.Version)
	seen := make(map[HostID]bool, len(h.Hosts))
	for i, host := range h.Hosts {
		path := fmt.Sprintf("hosts[%d]", i)
		v.require(host.ID != "" && !seen[host.ID], "a non-empty name that is unique in the list", path+".id", host.ID)
		v.require(isAddrPort(host.Peer), "an IP address with a port", path+".peer", host.Peer)
		v.require(host.Domain != "", "the name of a failure domain", path+".domain", host.Domain)
		v.require(isAvailability(host.State), `"live" or "leaving"`, path+".state", host.State)
		seen[host.ID] = true
	}
}

func isAvailability(a Availability) bool { return a == Live || a == Leaving }

// isAddrPort reports whether text is an IP address with a port other than 0.
func isAddrPort(text string) bool {
	a, err := netip.ParseAddrPort(text)
	return err == nil && a.Port() != 0
}
