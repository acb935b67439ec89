package setting

import (
	"net/netip"
	"time"

	"mulberrydyke/plan"
)

// Edge holds the settings of one entry host on a platform whose store lists
// upstreams and routes. The platform package fills it in.
type Edge struct {
	ID     plan.HostID
	Domain plan.DomainID
	Region plan.RegionID
	// IP is the host's own address.
	IP netip.Addr
	// Callers, Readiness and Peers are the listeners' addresses.
	Callers, Readiness, Peers netip.AddrPort
	// GossipPort is the UDP port for gossip between hosts. It is the same on
	// all hosts.
	GossipPort uint16
	// MetricsPort is the port of the metrics listener.
	MetricsPort uint16
	// Seeds are the peer addresses of a few hosts. They may be out of date.
	Seeds []netip.AddrPort
	// Platform is the address of the store that lists upstreams and routes.
	Platform netip.AddrPort
	// Domains lists all failure domains in which there may be hosts, without duplicates.
	Domains []plan.DomainID
	// Cores is the number of CPU cores of the machine.
	Cores int
	// MemoryBytes is the memory limit above which the process is killed.
	MemoryBytes int64
	// MaxFileDescriptors is the number of descriptors that the process may have open. Zero means
	// that no limit is known.
	MaxFileDescriptors int
	Bounds             EdgeBounds
}

// EdgeBounds holds the operators' limits for shutdown, configuration changes,
// retries and prompt prefix reuse.
type EdgeBounds struct {
	// StopGracePeriod is the time from the stop signal until the process is
	// killed.
	StopGracePeriod time.Duration
	// MaxApplyDelay is the time within which a published routing table must
	// take effect.
	MaxApplyDelay time.Duration
	// RetryRatio is the maximum ratio of retries to first attempts in one
	// RetryWindow, over all hosts.
	RetryRatio  float64
	RetryWindow time.Duration
	// RetryExtra is the number of retries in a RetryWindow that are allowed in
	// addition to RetryRatio, over all hosts.
	RetryExtra float64
	// PrefixReuseWindow is the time within which another request with the same
	// prompt prefix is expected.
	PrefixReuseWindow time.Duration
	// ColdOvershoot times the cold rate of a service, plus ColdSlack, is the number of requests
	// that one of its cold upstreams may get from all hosts together in any second.
	ColdOvershoot, ColdSlack float64
	// MaxEvacuationDelay is the time within which the evacuation of a failure domain must take
	// effect.
	MaxEvacuationDelay time.Duration
}

// Check returns an Error for the first invalid field.
func (e *Edge) Check() error {
	switch {
	case e.ID == "":
		return &Error{Field: "id", Reason: "want a name"}
	case e.Domain == "":
		return &Error{Field: "domain", Reason: "want a name"}
	case !e.Callers.IsValid():
		return &Error{Field: "callers", Reason: "want an IP address with a port"}
	case !e.Readiness.IsValid():
		return &Error{Field: "readiness", Reason: "want an IP address with a port"}
	case !e.Platform.IsValid():
		return &Error{Field: "platform", Reason: "want an IP address with a port"}
	case e.Cores < 1:
		return &Error{Field: "cores", Reason: "want at least 1"}
	case e.MemoryBytes < 1<<20:
		return &Error{Field: "memory", Reason: "want at least 1 MiB"}
	}
	return e.Bounds.check()
}

func (b *EdgeBounds) check() error {
	durations := []struct {
		field    string
		duration time.Duration
	}{
		{"stop-time", b.StopGracePeriod}, {"apply-time", b.MaxApplyDelay}, {"retry-window", b.RetryWindow},
	}
	for _, d := range durations {
		if d.duration <= 0 {
			return &Error{Field: d.field, Reason: "want a duration above 0"}
		}
	}
	if b.ColdOvershoot < 0 || b.ColdSlack < 0 {
		return &Error{Field: "cold-overshoot", Reason: "want 0 or more"}
	}
	if b.RetryRatio < 0 || b.RetryExtra < 0 {
		return &Error{Field: "retry-ratio", Reason: "want 0 or more"}
	}
	return nil
}
