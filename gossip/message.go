// Package gossip is the protocol between entry hosts: datagrams that tell what
// each host runs and which lists it has, and calls that fetch newer lists.
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

// protocolVersion is raised with each change that older hosts can't read.
const protocolVersion = 5

const (
	// messageMost bounds a datagram.
	messageMost = 8 << 10
	// suspectsMost bounds the suspects that one message names.
	suspectsMost = 16
	// peersMost bounds the peers that one message names.
	peersMost = 6
)

// Message is what one host tells its peers.
type Message struct {
	Protocol int           `cbor:"1,keyasint"`
	Host     plan.HostID   `cbor:"2,keyasint"`
	Domain   plan.DomainID `cbor:"3,keyasint"`
	// Incarnation is new at each start of the host's process.
	Incarnation uint64 `cbor:"4,keyasint"`
	// Sequence rises with each message of an incarnation.
	Sequence uint64 `cbor:"5,keyasint"`
	// Table and Revision are the versions of the lists that the host has.
	TableVersion plan.Version `cbor:"6,keyasint"`
	Revision     uint64       `cbor:"7,keyasint"`
	// Reading says that the host hears changes of the lists from the platform.
	Reading bool `cbor:"8,keyasint,omitempty"`
	// Peers are addresses of hosts that were heard lately.
	Peers []netip.Addr `cbor:"9,keyasint,omitempty"`
	// Report is what the host itself runs. Only hosts of its domain get it.
	Report dispatch.Report `cbor:"10,keyasint"`
	// Domains are whole domains' reports: in a message to another domain that of
	// the sender's domain, else those of other domains.
	Domains []DomainReport `cbor:"11,keyasint,omitempty"`
	// Suspects are contents that were running on upstreams that crashed.
	Suspects []pool.Suspect `cbor:"12,keyasint,omitempty"`
}

// DomainReport is what all hosts of one domain run.
type DomainReport struct {
	_      struct{} `cbor:",toarray"`
	Domain plan.DomainID
	// Hosts is the number of hosts that the report sums up.
	Hosts int
	// Age is how old the report is, without the way of the message.
	Age    time.Duration
	Report dispatch.Report
}

// DecodeError reports a datagram that is not a message.
type DecodeError struct{ Reason string }

func (e *DecodeError) Error() string { return "decode message: " + e.Reason }

// Decode reads and checks a message. It fails with a DecodeError.
func Decode(raw []byte) (*Message, error) {
	var m Message
	if err := cbor.Unmarshal(raw, &m); err != nil {
		return nil, &DecodeError{Reason: err.Error()}
	}
	return &m, m.check()
}

func (m *Message) check() error {
	switch {
	case m.Protocol != protocolVersion:
		return &DecodeError{Reason: fmt.Sprintf("protocol %d", m.Protocol)}
	case m.Host == "" || m.Incarnation == 0:
		return &DecodeError{Reason: "no sender"}
	case len(m.Peers) > peersMost:
		return &DecodeError{Reason: "too many peers"}
	case len(m.Suspects) > suspectsMost:
		return &DecodeError{Reason: "too many suspects"}
	}
	for _, s := range m.Suspects {
		if s.Content == 0 || len(s.Crashes) == 0 || s.Left < 0 {
			return &DecodeError{Reason: "malformed suspect"}
		}
	}
	for _, d := range m.Domains {
		if d.Domain == "" || d.Hosts < 1 || d.Age < 0 {
			return &DecodeError{Reason: "malformed report of a domain"}
		}
		if err := checkReport(&d.Report); err != nil {
			return err
		}
	}
	return checkReport(&m.Report)
}

func checkReport(r *dispatch.Report) error {
	for _, l := range r.Loads {
		if l.Short < 0 || l.Long < 0 || l.Plain < 0 || l.Pending < 0 {
			return &DecodeError{Reason: "negative load"}
		}
	}
	return nil
}

// Encode writes a message.
func (m *Message) Encode() ([]byte, error) { return cbor.Marshal(m) }
