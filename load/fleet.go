package load

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"mulberrydyke/host"
	"mulberrydyke/plan"
	"mulberrydyke/setting"
	"mulberrydyke/standin"
)

// FleetOptions configures a Fleet.
type FleetOptions struct {
	Profile Profile
	Domains int
	// HostsPerDomain and EnginesPerDomain are the numbers of hosts and engines in
	// each failure domain.
	HostsPerDomain, EnginesPerDomain int
	Engine                           standin.EngineOptions
	Bounds                           setting.Bounds
	Log                              *slog.Logger
}

// Fleet runs hosts and stand-ins for the engines, the plain service and the platform
// that they use. All run in one process and communicate over loopback.
type Fleet struct {
	Options   FleetOptions
	Platform  *standin.Platform
	Engines   []*standin.Engine
	Service   *standin.Service
	Hosts     []*host.Host
	Upstreams *plan.Upstreams
	HostList  *plan.Hosts

	platformAddress string
	cleanups        []func()
}

// PeerKey is the key by which the hosts of a fleet authenticate to each other.
const PeerKey = "a key for hosts on loopback"

// NewFleet starts a fleet and returns it once all hosts are ready. The cleanup
// function stops it.
func NewFleet(options FleetOptions) (*Fleet, func(), error) {
	f := &Fleet{Options: options, Platform: standin.NewPlatform(), Service: standin.NewService("press-1")}
	if err := f.start(); err != nil {
		f.close()
		return nil, nil, err
	}
	return f, f.close, nil
}

// start starts the platform, the upstreams and the hosts, and waits until the hosts
// are ready.
func (f *Fleet) start() error {
	address, cleanup, err := f.Platform.Serve("127.0.0.1:0")
	if err != nil {
		return eris.Wrap(err, "start the stand-in platform")
	}
	f.platformAddress = address
	f.cleanups = append(f.cleanups, cleanup)
	if err := f.startUpstreams(); err != nil {
		return err
	}
	settings, err := f.hostSettings()
	if err != nil {
		return err
	}
	f.publishLists()
	for _, s := range settings {
		h, cleanup, err := host.Start(s, f.Options.Log)
		if err != nil {
			return eris.Wrap(err, "start a host")
		}
		f.Hosts = append(f.Hosts, h)
		f.cleanups = append(f.cleanups, cleanup)
	}
	return f.waitReady()
}

// DomainID returns the ID of the failure domain with index i.
func DomainID(i int) plan.DomainID { return plan.DomainID(fmt.Sprintf("domain-%d", i+1)) }

// startUpstreams starts the engines and the plain service and fills in the list of
// upstreams.
func (f *Fleet) startUpstreams() error {
	options := f.Options
	f.Upstreams = &plan.Upstreams{Version: 1}
	for d := range options.Domains {
		for e := range options.EnginesPerDomain {
			engineOptions := options.Engine
			engineOptions.Name = fmt.Sprintf("engine-%d-%d", d+1, e+1)
			engine, cleanup := standin.NewEngine(engineOptions)
			f.cleanups = append(f.cleanups, cleanup)
			address, cleanup, err := engine.Serve("127.0.0.1:0")
			if err != nil {
				return eris.Wrap(err, "start a stand-in engine")
			}
			f.cleanups = append(f.cleanups, cleanup)
			f.Engines = append(f.Engines, engine)
			f.Upstreams.Upstreams = append(f.Upstreams.Upstreams, plan.Upstream{
				ID: plan.UpstreamID(engineOptions.Name), Address: address, Domain: DomainID(d), Kind: plan.Engine,
				Models: []plan.ModelID{options.Profile.Model}, Slots: engineOptions.MaxBatchSize, State: plan.Live,
			})
		}
	}
	address, cleanup, err := f.Service.Serve("127.0.0.1:0")
	if err != nil {
		return eris.Wrap(err, "start the stand-in service")
	}
	f.cleanups = append(f.cleanups, cleanup)
	f.Upstreams.Upstreams = append(f.Upstreams.Upstreams, plan.Upstream{
		ID: "press-1", Address: address, Domain: DomainID(0), Kind: plan.PlainService, Service: "press", Slots: 8, State: plan.Live,
	})
	return nil
}

// hostSettings returns the settings of all hosts and fills in the list of hosts.
func (f *Fleet) hostSettings() ([]setting.Host, error) {
	f.HostList = &plan.Hosts{Version: 1}
	var settings []setting.Host
	for d := range f.Options.Domains {
		for i := range f.Options.HostsPerDomain {
			peer, err := FreeAddress()
			if err != nil {
				return nil, err
			}
			id := plan.HostID(fmt.Sprintf("host-%d-%d", d+1, i+1))
			settings = append(settings, setting.Host{
				ID: id, Domain: DomainID(d), Region: "region-1",
				Listen:   setting.Listen{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Peers: peer},
				Platform: []string{f.platformAddress}, PeerKey: PeerKey, Bounds: f.Options.Bounds,
			})
			f.HostList.Hosts = append(f.HostList.Hosts, plan.Host{
				ID: id, Peer: peer, Domain: DomainID(d), Region: "region-1", State: plan.Live,
			})
		}
	}
	return settings, nil
}

// publishLists publishes all lists on the stand-in platform.
func (f *Fleet) publishLists() {
	plans, entitlements := f.Options.Profile.Lists()
	f.Platform.PublishList(plan.KindPlans, plans)
	f.Platform.PublishList(plan.KindEntitlements, entitlements)
	f.Platform.PublishList(plan.KindUpstreams, f.Upstreams)
	f.Platform.PublishList(plan.KindHosts, f.HostList)
}

// readyTimeout limits the time until all hosts of a new fleet are ready.
const readyTimeout = 15 * time.Second

// waitReady waits until each host is ready and sees the other hosts of its domain as
// live.
func (f *Fleet) waitReady() error {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	for _, h := range f.Hosts {
		for !h.Ready() || h.LiveHosts() < f.Options.HostsPerDomain {
			if ctx.Err() != nil {
				return eris.New("timed out waiting for all hosts to become ready")
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// close stops the hosts concurrently, then the other components in reverse order of
// their start.
func (f *Fleet) close() {
	hostCount := len(f.Hosts)
	hostCleanups := f.cleanups[len(f.cleanups)-hostCount:]
	var wg sync.WaitGroup
	for _, cleanup := range hostCleanups {
		wg.Go(cleanup)
	}
	wg.Wait()
	for i := len(f.cleanups) - hostCount - 1; i >= 0; i-- {
		f.cleanups[i]()
	}
}

// The range of ports that FreeAddress returns. It lies below the ephemeral ports that
// the system uses for outgoing connections, so that no such connection takes a port
// before it is listened on.
const (
	firstPort = 12000
	portCount = 18000
)

// portCounter makes each call of FreeAddress start at another port. FreeAddress adds
// the process ID, so that concurrent processes usually start at different ports.
var portCounter atomic.Uint32

// FreeAddress returns a loopback address that is not listened on. Each call returns
// a different one.
func FreeAddress() (string, error) {
	for range portCount {
		port := firstPort + (uint32(os.Getpid())*64+portCounter.Add(1))%portCount
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		defer l.Close()
		return l.Addr().String(), nil
	}
	return "", eris.New("no free port on loopback")
}

// Run replays the profile's arrivals against all hosts and summarizes the results.
// After the last arrival it waits at most drainTimeout for responses.
func (f *Fleet) Run(ctx context.Context, name string, seed uint64, rate float64, duration, drainTimeout time.Duration, burst Burst) (Summary, error) {
	client, cleanup := NewClient()
	defer cleanup()
	generatedBefore := f.GeneratedTokens()
	arrivals := f.Options.Profile.Arrivals(seed, rate, duration, burst)
	if len(arrivals) == 0 {
		return Summary{}, eris.New("no arrivals at this rate and duration")
	}
	results := Replay(ctx, arrivals, drainTimeout, func(ctx context.Context, a Arrival) Result {
		address := f.Hosts[a.EntryIndex%len(f.Hosts)].CallerAddress()
		return client.Send(ctx, address, f.Options.Profile.Model, a)
	})
	return Summarize(name, seed, rate, duration, results, f.GeneratedTokens()-generatedBefore), nil
}

// GeneratedTokens returns how many tokens all engines have generated.
func (f *Fleet) GeneratedTokens() int {
	total := 0
	for _, e := range f.Engines {
		total += e.Ledger().GeneratedTokens()
	}
	return total
}
