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

// FleetOptions size a fleet in one process.
type FleetOptions struct {
	Profile Profile
	Domains int
	// Hosts and Engines are numbers per domain.
	Hosts, Engines int
	Engine         standin.EngineOptions
	Bounds         setting.Bounds
	Log            *slog.Logger
}

// Fleet is a set of hosts with stand-ins of all that they meet, in one
// process, on loopback.
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

// PeerKey is the key between the hosts of a fleet.
const PeerKey = "a key for hosts on loopback"

// NewFleet starts a fleet and returns it once every host is ready. The clean-up
// function stops it.
func NewFleet(o FleetOptions) (*Fleet, func(), error) {
	f := &Fleet{Options: o, Platform: standin.NewPlatform(), Service: standin.NewService("press-1")}
	if err := f.start(); err != nil {
		f.close()
		return nil, nil, err
	}
	return f, f.close, nil
}

func (f *Fleet) start() error {
	address, cleanup, err := f.Platform.Serve("127.0.0.1:0")
	if err != nil {
		return eris.Wrap(err, "start the platform")
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
	f.publish()
	for _, s := range settings {
		h, cleanup, err := host.Start(s, f.Options.Log)
		if err != nil {
			return eris.Wrap(err, "start a host")
		}
		f.Hosts = append(f.Hosts, h)
		f.cleanups = append(f.cleanups, cleanup)
	}
	return f.awaitReady()
}

// DomainOf names a failure domain.
func DomainOf(i int) plan.DomainID { return plan.DomainID(fmt.Sprintf("domain-%d", i+1)) }

func (f *Fleet) startUpstreams() error {
	o := f.Options
	f.Upstreams = &plan.Upstreams{Version: 1}
	for d := range o.Domains {
		for e := range o.Engines {
			engine := o.Engine
			engine.Name = fmt.Sprintf("engine-%d-%d", d+1, e+1)
			stand, cleanup := standin.NewEngine(engine)
			f.cleanups = append(f.cleanups, cleanup)
			address, cleanup, err := stand.Serve("127.0.0.1:0")
			if err != nil {
				return eris.Wrap(err, "start an engine")
			}
			f.cleanups = append(f.cleanups, cleanup)
			f.Engines = append(f.Engines, stand)
			f.Upstreams.Upstreams = append(f.Upstreams.Upstreams, plan.Upstream{
				ID: plan.UpstreamID(engine.Name), Address: address, Domain: DomainOf(d), Kind: plan.Engine,
				Models: []plan.ModelID{o.Profile.Model}, Slots: engine.MaxBatchSize, State: plan.Live,
			})
		}
	}
	address, cleanup, err := f.Service.Serve("127.0.0.1:0")
	if err != nil {
		return eris.Wrap(err, "start the service")
	}
	f.cleanups = append(f.cleanups, cleanup)
	f.Upstreams.Upstreams = append(f.Upstreams.Upstreams, plan.Upstream{
		ID: "press-1", Address: address, Domain: DomainOf(0), Kind: plan.Plain, Service: "press", Slots: 8, State: plan.Live,
	})
	return nil
}

func (f *Fleet) hostSettings() ([]setting.Host, error) {
	f.HostList = &plan.Hosts{Version: 1}
	var out []setting.Host
	for d := range f.Options.Domains {
		for i := range f.Options.Hosts {
			peer, err := FreeAddress()
			if err != nil {
				return nil, err
			}
			id := plan.HostID(fmt.Sprintf("host-%d-%d", d+1, i+1))
			out = append(out, setting.Host{
				ID: id, Domain: DomainOf(d), Region: "region-1",
				Listen:   setting.Listen{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Peers: peer},
				Platform: []string{f.platformAddress}, PeerKey: PeerKey, Bounds: f.Options.Bounds,
			})
			f.HostList.Hosts = append(f.HostList.Hosts, plan.Host{
				ID: id, Peer: peer, Domain: DomainOf(d), Region: "region-1", State: plan.Live,
			})
		}
	}
	return out, nil
}

func (f *Fleet) publish() {
	plans, entitled := f.Options.Profile.Lists()
	f.Platform.PublishList(plan.KindPlans, plans)
	f.Platform.PublishList(plan.KindEntitlements, entitled)
	f.Platform.PublishList(plan.KindUpstreams, f.Upstreams)
	f.Platform.PublishList(plan.KindHosts, f.HostList)
}

const readyTime = 15 * time.Second

// awaitReady waits until every host is ready and sees all others.
func (f *Fleet) awaitReady() error {
	ctx, cancel := context.WithTimeout(context.Background(), readyTime)
	defer cancel()
	for _, h := range f.Hosts {
		for !h.Ready() || h.LiveHosts() < f.Options.Hosts {
			if ctx.Err() != nil {
				return eris.New("a host did not become ready")
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// close stops all parts, the hosts at the same time.
func (f *Fleet) close() {
	hosts := len(f.Hosts)
	stops := f.cleanups[len(f.cleanups)-hosts:]
	var wait sync.WaitGroup
	for _, stop := range stops {
		wait.Go(stop)
	}
	wait.Wait()
	for i := len(f.cleanups) - hosts - 1; i >= 0; i-- {
		f.cleanups[i]()
	}
}

// Ports that FreeAddress gives out. They lie below those that the system uses
// for outgoing connections, so that none is taken before its owner listens.
const (
	portFirst = 12000
	portCount = 18000
)

var nextPort atomic.Uint32

// FreeAddress returns an address on loopback that nobody listens on. Each call
// gives another one.
func FreeAddress() (string, error) {
	for range portCount {
		port := portFirst + (uint32(os.Getpid())*64+nextPort.Add(1))%portCount
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		defer l.Close()
		return l.Addr().String(), nil
	}
	return "", eris.New("no free port on loopback")
}

// Drive plays a profile's arrivals against all hosts and sums up what the
// callers got.
func (f *Fleet) Drive(ctx context.Context, name string, seed uint64, rate float64, span, rest time.Duration, burst Burst) (Summary, error) {
	client, cleanup := NewClient()
	defer cleanup()
	before := f.Generated()
	arrivals := f.Options.Profile.Arrivals(seed, rate, span, burst)
	if len(arrivals) == 0 {
		return Summary{}, eris.New("the rate and the time give no arrivals")
	}
	results := Play(ctx, arrivals, rest, func(ctx context.Context, a Arrival) Result {
		address := f.Hosts[a.Entry%len(f.Hosts)].Callers()
		return client.Send(ctx, address, f.Options.Profile.Model, a)
	})
	return Summarize(name, seed, rate, span, results, f.Generated()-before), nil
}

// Generated returns how many tokens all engines generated.
func (f *Fleet) Generated() int {
	sum := 0
	for _, e := range f.Engines {
		sum += e.Ledger().GeneratedTokens()
	}
	return sum
}
