// Package gossip implements the protocol between entry hosts: UDP datagrams
// that carry each host's load and the versions of its lists, and RPC calls that
// fetch newer lists. The lists are the routing table and the upstreams
// published by the platform.
package gossip

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"mulberrydyke/dispatch"
	"mulberrydyke/drain"
	"mulberrydyke/plan"
	"mulberrydyke/quarantine"
	"mulberrydyke/ratelimit"
	"mulberrydyke/route"
)

// protocolVersion is raised with each change that older hosts can't decode. Hosts
// of different versions do not hear each other: each set of hosts counts as the
// whole fleet, reads the platform's store by itself and shares its upstreams with
// the other set without knowing its load.
const protocolVersion = 12

const (
	// maxMessageBytes bounds a datagram that is received.
	maxMessageBytes = 8 << 10
	// maxReportBytes bounds the part of a report in one message, so that a message
	// fits into one frame of most networks.
	maxReportBytes = 900
	// maxSuspects bounds the suspects in one message.
	maxSuspects = 64
	// maxLimits bounds the rate limits in one message, and maxDrains the draining upstreams.
	maxLimits = 64
	maxDrains = 64
	// maxLocalPeers and maxRemotePeers bound the addresses of hosts of the local
	// domain and of another domain in one message.
	maxLocalPeers  = 8
	maxRemotePeers = 4
	// maxHelloPeers is the same bound for the local domain in a message without a
	// report, from which hosts that start learn of the others.
	maxHelloPeers = 32
	// maxPeerDomains bounds the number of domains of these addresses.
	maxPeerDomains = 2
	// maxPeerAge is the age of the last news of a host from which its address is
	// not passed on.
	maxPeerAge = 20 * time.Second
)

// Kind tells what the report in a message describes.
type Kind int

// Kinds of message.
const (
	// KindHost carries the sender's own load to the hosts of its group.
	KindHost Kind = iota
	// KindGroup carries the load of the sender's group to the other groups of its
	// domain.
	KindGroup
	// KindDomain carries the load of the sender's domain to other domains.
	KindDomain
	// KindRemote carries the load of the other domains to the speakers of the
	// sender's domain.
	KindRemote
	// KindRest carries the load of the rest of the fleet to the hosts of the
	// sender's group.
	KindRest
	// KindHello carries no report.
	KindHello
	// KindSuspects carries requests suspected of crashing upstreams, and no report.
	KindSuspects
	// KindLimits carries rate limits of upstreams, and no report.
	KindLimits
	// KindPermitAsk asks for a permit to send a request to an upstream, and
	// KindPermitDecision answers it.
	KindPermitAsk
	KindPermitDecision
	// KindDrains carries upstreams that have said that they are draining, and no report.
	KindDrains
)

// Message is the datagram that a host sends to its peers.
type Message struct {
	Protocol int           `cbor:"1,keyasint"`
	Host     plan.HostID   `cbor:"2,keyasint"`
	Domain   plan.DomainID `cbor:"3,keyasint"`
	// Incarnation identifies one run of the host's process.
	Incarnation uint64 `cbor:"4,keyasint"`
	// Sequence increases with each message of an incarnation.
	Sequence uint64 `cbor:"5,keyasint"`
	// TableVersion is the version of the host's routing table, and Position that of
	// its copy of the platform's store.
	TableVersion plan.Version   `cbor:"6,keyasint"`
	Position     route.Position `cbor:"7,keyasint"`
	// Reader is a host of the domain that reads the platform's store, and
	// ReaderAge the age of that news.
	Reader    netip.Addr    `cbor:"8,keyasint"`
	ReaderAge time.Duration `cbor:"9,keyasint"`
	Role      Role          `cbor:"10,keyasint"`
	// Peers are some hosts that were seen lately.
	Peers []DomainPeers `cbor:"11,keyasint,omitempty"`
	// Suspects are traits of requests that were running on upstreams when these
	// crashed. Only messages of KindSuspects carry them.
	Suspects []quarantine.Suspect `cbor:"12,keyasint,omitempty"`
	Kind     Kind                 `cbor:"13,keyasint"`
	// Group is the sender's group.
	Group GroupID `cbor:"14,keyasint"`
	// Hosts is the number of hosts that the report includes.
	Hosts int `cbor:"15,keyasint,omitempty"`
	// Report is one part of the report.
	Report dispatch.Report `cbor:"16,keyasint"`
	// Limits are rate limits that upstreams have announced. Only messages of KindLimits
	// carry them.
	Limits []ratelimit.Update `cbor:"17,keyasint,omitempty"`
	// Ask is set in messages of KindPermitAsk, Decision in those of KindPermitDecision.
	Ask      *ratelimit.Ask      `cbor:"18,keyasint,omitempty"`
	Decision *ratelimit.Decision `cbor:"19,keyasint,omitempty"`
	// Leaving is set while the sender stops.
	Leaving bool `cbor:"20,keyasint,omitempty"`
	// Drains are upstreams that have said that they are draining. Only messages of KindDrains
	// carry them.
	Drains []drain.Update `cbor:"21,keyasint,omitempty"`
	// Served is the time in which the platform's store has served some host without a failure. It
	// is nil if the sender knows of none, and in messages for which tellsStore is false.
	Served *Served `cbor:"22,keyasint,omitempty"`
	// StoreFailing is set while the platform's store fails for the sender, which reads it. Only
	// messages for which tellsStore is true carry it.
	StoreFailing bool `cbor:"23,keyasint,omitempty"`
}

// carriesReport reports whether the message describes load.
func (m *Message) carriesReport() bool { return m.Kind < KindHello }

// tellsStore reports whether messages of this kind carry Served and StoreFailing.
func (m *Message) tellsStore() bool { return m.carriesReport() || m.Kind == KindHello }

// DomainPeers lists some hosts of one domain.
type DomainPeers struct {
	_      struct{} `cbor:",toarray"`
	Domain plan.DomainID
	Hosts  []Peer
}

// Peer is the address and role of a host and the age of the last news of it.
type Peer struct {
	_          struct{} `cbor:",toarray"`
	Addr       netip.Addr
	Role       Role
	AgeSeconds int
}

// newPeer returns a peer. The age is rounded up, so that news that is passed on
// grows older.
func newPeer(a netip.Addr, role Role, age time.Duration) Peer {
	return Peer{Addr: a, Role: role, AgeSeconds: int((age + time.Second - 1) / time.Second)}
}

func (p Peer) age() time.Duration { return time.Duration(p.AgeSeconds) * time.Second }

// DecodeError reports a datagram that is not a valid message.
type DecodeError struct{ Reason string }

func (e *DecodeError) Error() string { return "decode message: " + e.Reason }

// Decode decodes and validates a message. Errors are of type *DecodeError.
func Decode(raw []byte) (*Message, error) {
	var m Message
	if err := cbor.Unmarshal(raw, &m); err != nil {
		return nil, &DecodeError{Reason: err.Error()}
	}
	return &m, m.validate()
}

func (m *Message) validate() error {
	switch {
	case m.Protocol != protocolVersion:
		return &DecodeError{Reason: fmt.Sprintf("unsupported protocol version %d", m.Protocol)}
	case m.Host == "" || m.Domain == "" || m.Incarnation == 0:
		return &DecodeError{Reason: "missing host, domain or incarnation"}
	case m.Kind < KindHost || m.Kind > KindDrains || m.Group == 0:
		return &DecodeError{Reason: "unknown kind or missing group"}
	case m.Hosts < 0 || m.ReaderAge < 0:
		return &DecodeError{Reason: "negative number of hosts or age"}
	case !m.Served.valid():
		return &DecodeError{Reason: "malformed time of service"}
	case len(m.Suspects) > maxSuspects:
		return &DecodeError{Reason: "too many suspects"}
	}
	for _, s := range m.Suspects {
		if !s.Valid() {
			return &DecodeError{Reason: "malformed suspect"}
		}
	}
	if err := m.validateLimits(); err != nil {
		return err
	}
	if err := m.validateDrains(); err != nil {
		return err
	}
	if err := m.validatePeers(); err != nil {
		return err
	}
	return validateReport(&m.Report)
}

func (m *Message) validateLimits() error {
	if len(m.Limits) > maxLimits {
		return &DecodeError{Reason: "too many rate limits"}
	}
	for _, u := range m.Limits {
		if !u.Valid() {
			return &DecodeError{Reason: "malformed rate limit"}
		}
	}
	if m.Kind == KindPermitAsk && (m.Ask == nil || !m.Ask.Valid()) {
		return &DecodeError{Reason: "malformed ask for a permit"}
	}
	if m.Kind == KindPermitDecision && (m.Decision == nil || m.Decision.RetryAfter < 0) {
		return &DecodeError{Reason: "malformed decision on a permit"}
	}
	return nil
}

func (m *Message) validateDrains() error {
	if len(m.Drains) > maxDrains {
		return &DecodeError{Reason: "too many draining upstreams"}
	}
	for _, u := range m.Drains {
		if !u.Valid() {
			return &DecodeError{Reason: "malformed draining upstream"}
		}
	}
	return nil
}

func (m *Message) validatePeers() error {
	if len(m.Peers) > maxPeerDomains {
		return &DecodeError{Reason: "too many domains of peers"}
	}
	for _, d := range m.Peers {
		if len(d.Hosts) > maxHelloPeers {
			return &DecodeError{Reason: "too many peers"}
		}
		for _, p := range d.Hosts {
			if d.Domain == "" || !p.Addr.IsValid() || p.AgeSeconds < 0 {
				return &DecodeError{Reason: "malformed peer"}
			}
		}
	}
	return nil
}

func validateReport(r *dispatch.Report) error {
	for _, l := range r.Loads {
		if len(l.Speed) > dispatch.MaxSpeedSums {
			return &DecodeError{Reason: "too many measurements of an upstream"}
		}
		if l.Short < 0 || l.Long < 0 || l.Plain < 0 || l.PendingTokens < 0 || l.Waiting < 0 || l.OverdueMs < 0 {
			return &DecodeError{Reason: "negative load"}
		}
	}
	for _, d := range r.Domains {
		if d.Domain == "" || d.Age < 0 {
			return &DecodeError{Reason: "malformed age of a domain"}
		}
	}
	return nil
}

// Encode encodes a message as CBOR.
func (m *Message) Encode() ([]byte, error) { return cbor.Marshal(m) }
