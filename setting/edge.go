package setting

import (
	"net/netip"

	"time"

	"mulberrydyke/plan"
)

// Edge is the settings of one entry host on a platform that lists upstreams and
// routes. The platform's adapter fills it in.
type Edge struct {
	ID     plan.HostID
	Domain plan.DomainID
	Region plan.RegionID
	// IP is the host's own address.
	IP netip.Addr
	// Callers, Readiness and Peers are the listeners' addresses.
	Callers, Readiness, Peers netip.AddrPort
	// GossipPort is the port, the same on all hosts, for datagrams between
	// hosts.
	GossipPort uint16
	// MetricsPort is the port of the metrics listener.
	MetricsPort uint16
	// Seeds are peer addresses of a few hosts. They may be out of date.
	Seeds []netip.AddrPort
	// Platform is the address of the store that lists upstreams and routes.
	Platform netip.AddrPort
	// Domains is the number of failure domains, at least 1.
	Domains int
	// Cores is the number of cores of the machine.
	Cores int
	// MemoryBytes is the memory above which the process is killed.
	MemoryBytes int64
	Bounds      EdgeBounds
}

// EdgeBounds are the operators' bounds on how the fleet reacts.
type EdgeBounds struct {
	// StopTime is how long after the signal to stop the process is killed.
	StopGracePeriod time.Duration
	// ApplyTime is how soon a published table must be in force.
	MaxApplyDelay time.Duration
	// RetryRatio is the part of fresh requests that repeats may add, over all
	// hosts, in one RetryWindow.
	RetryRatio  float64
	RetryWindow time.Duration
	// RetryExtra is the number of repeats in a RetryWindow that are allowed
	// besides, over all hosts.
	RetryExtra float64
	// CacheLife is how long a part of a prompt is expected to be asked for
	// again.
	PrefixReuseWindow time.Duration
}

// Check returns an Error that names the first field that is not valid.
func (e *Edge) Check() error {
	switch {
	case e.ID == "":
		return &Error{Field: "id", Reason: "a name"}
	case e.Domain == "":
		return &Error{Field: "domain", Reason: "a name"}
	case !e.Callers.IsValid():
		return &Error{Field: "callers", Reason: "an IP number with a port"}
	case !e.Readiness.IsValid():
		return &Error{Field: "readiness", Reason: "an IP number with a port"}
	case !e.Platform.IsValid():
		return &Error{Field: "platform", Reason: "an IP number with a port"}
	case e.Cores < 1:
		return &Error{Field: "cores", Reason: "at least 1"}
	case e.MemoryBytes < 1<<20:
		return &Error{Field: "memory", Reason: "at least 1 MiB"}
	}
	return e.Bounds.check()
}

func (b *EdgeBounds) check() error {
	spans := []struct {
		field string
		span  time.Duration
	}{
		{"stop-time", b.StopGracePeriod}, {"apply-time", b.MaxApplyDelay}, {"retry-window", b.RetryWindow},
	}
	for _, s := range spans {
		if s.span <= 0 {
			return &Error{Field: s.field, Reason: "a positive time span"}
		}
	}
	if b.RetryRatio < 0 || b.RetryExtra < 0 {
		return &Error{Field: "retry-ratio", Reason: "zero or more"}
	}
	return nil
}
