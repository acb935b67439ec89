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
	"mulberrydyke/plan"
	"mulberrydyke/pool"
)

// protocolVersion is raised with each change that older hosts can't decode.
const protocolVersion = 5

const (
	// maxMessageBytes bounds a datagram.
	maxMessageBytes = 8 << 10
	// maxSuspects bounds the suspects in one message.
	maxSuspects = 16
	// maxPeers bounds the peer addresses in one message.
	maxPeers = 6
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
	// TableVersion and Revision are the versions of the host's routing table
	// and of its copy of the platform's store.
	TableVersion plan.Version `cbor:"6,keyasint"`
	Revision     uint64       `cbor:"7,keyasint"`
	// Reading is set if the host itself reads the platform's store.
	Reading bool `cbor:"8,keyasint,omitempty"`
	// Peers are the addresses of some live hosts.
	Peers []netip.Addr `cbor:"9,keyasint,omitempty"`
	// Report is the sender's own load. Only hosts of its domain receive it.
	Report dispatch.Report `cbor:"10,keyasint"`
	// Domains are reports about whole domains: a message to another domain
	// carries the report of the sender's domain, a message within the domain
	// those of the other domains.
	Domains []DomainReport `cbor:"11,keyasint,omitempty"`
	// Suspects are the requests that were running on upstreams when these
	// crashed, identified by a hash of their content.
	Suspects []pool.Suspect `cbor:"12,keyasint,omitempty"`
}

// DomainReport is the total load of all hosts of one domain.
type DomainReport struct {
	_      struct{} `cbor:",toarray"`
	Domain plan.DomainID
	// Hosts is the number of hosts included in the report.
	Hosts int
	// Age is the age of the report when the message was sent.
	Age    time.Duration
	Report dispatch.Report
}

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
	case m.Host == "" || m.Incarnation == 0:
		return &DecodeError{Reason: "missing host or incarnation"}
	case len(m.Peers) > maxPeers:
		return &DecodeError{Reason: "too many peers"}
	case len(m.Suspects) > maxSuspects:
		return &DecodeError{Reason: "too many suspects"}
	}
	for _, s := range m.Suspects {
		if s.Content == 0 || len(s.Crashes) == 0 || s.Left < 0 {
			return &DecodeError{Reason: "malformed suspect"}
		}
	}
	for _, d := range m.Domains {
		if d.Domain == "" || d.Hosts < 1 || d.Age < 0 {
			return &DecodeError{Reason: "malformed domain report"}
		}
		if err := validateReport(&d.Report); err != nil {
			return err
		}
	}
	return validateReport(&m.Report)
}

func validateReport(r *dispatch.Report) error {
	for _, l := range r.Loads {
		if l.Short < 0 || l.Long < 0 || l.Plain < 0 || l.PendingTokens < 0 {
			return &DecodeError{Reason: "negative load"}
		}
	}
	return nil
}

// Encode encodes a message as CBOR.
func (m *Message) Encode() ([]byte, error) { return cbor.Marshal(m) }
