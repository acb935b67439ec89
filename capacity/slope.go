package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"mulberrydyke/audit"
	"mulberrydyke/member"
	"mulberrydyke/metric"
	"mulberrydyke/peer"
	"mulberrydyke/plan"
	"mulberrydyke/pool"
	"mulberrydyke/standin"
	"mulberrydyke/ticket"
	"mulberrydyke/upstream"
)

var epoch = time.Unix(1_000_000, 0)

const (
	turns   = 200_000
	queued  = 20_000
	records = 20_000
	calls   = 3_000
)

func floors() [plan.LowestTier + 1]float64 {
	var out [plan.LowestTier + 1]float64
	for t := plan.HighestTier; t <= plan.LowestTier; t++ {
		out[t] = 0.02
	}
	return out
}

// newScheduler returns a scheduler of the largest pool: every upstream of a
// domain serves the model.
func newScheduler() *pool.Scheduler {
	size := PlannedSize()
	s := pool.NewScheduler(epoch, false, pool.NewSuspects())
	var list []plan.Upstream
	for i := range size.Upstreams/size.Domains + 1 {
		list = append(list, plan.Upstream{ID: plan.UpstreamID(fmt.Sprintf("engine-%d", i)), Slots: 96, State: plan.Live, Models: []plan.ModelID{"m"}})
	}
	s.Update(epoch, &pool.Reconfigured{Upstreams: list, Floors: floors(), Quarantine: time.Minute, LimitFraction: 1})
	return s
}

func askOf(i int) pool.Request {
	return pool.Request{
		ID:      pool.RequestID{Host: "region-1-domain-1-host-0001", Incarnation: 1, Sequence: uint64(i)},
		Account: plan.AccountID(fmt.Sprintf("account-%d", i%PlannedSize().Accounts)), Class: "chat",
		Tier: plan.Tier(i%5 + 1), Share: 0.5, Prompt: 500, MaxOutput: 300, Content: pool.ContentHash(2*i + 1),
		Prefix: pool.PrefixHash(i % 97), Arrived: epoch, Idempotent: true,
		Target: plan.Target{FirstToken: plan.Duration(time.Hour), BetweenTokens: plan.Duration(time.Second)},
	}
}

// turnSlope measures one request's whole way through a scheduler.
func turnSlope() UnitCost {
	s := newScheduler()
	spent, _ := measure(turns, func(i int) {
		a := askOf(i)
		s.Update(epoch, &pool.Submitted{Request: a})
		s.Update(epoch, &pool.Ended{ID: a.ID, Outcome: pool.Done, Output: 300, Between: time.Millisecond})
	})
	return UnitCost{Name: "scheduler", Unit: "request, 86 upstreams", CPUTime: spent}
}

// queuedSlope measures what waiting and running requests take.
func queuedSlope() UnitCost {
	s := newScheduler()
	_, kept := measure(queued, func(i int) { s.Update(epoch, &pool.Submitted{Request: askOf(i)}) })
	runtime.KeepAlive(s)
	return UnitCost{Name: "scheduler", Unit: "request held", MemoryBytes: kept}
}

func selfOf(i int) member.Identity {
	return member.Identity{
		ID: plan.HostID(fmt.Sprintf("region-1-domain-1-host-%04d", i)), Incarnation: member.Incarnation(i + 1),
		Domain: "region-1-domain-1", Region: "region-1", Peer: "10.200.200.200:65000",
	}
}

// membershipSlope measures the table of hosts.
func membershipSlope() UnitCost {
	hosts := PlannedSize().Hosts
	table := member.NewTable(selfOf(0))
	_, kept := measure(hosts, func(i int) { table.RecordHeartbeat(epoch, member.Heartbeat{Self: selfOf(i + 1)}, true) })
	own := member.NewTable(selfOf(0))
	for i := range hosts / PlannedSize().Domains {
		own.RecordHeartbeat(epoch, member.Heartbeat{Self: selfOf(i + 1)}, true)
	}
	spent, _ := measure(turns/100, func(int) { own.Live(epoch, "region-1-domain-1") })
	runtime.KeepAlive(table)
	return UnitCost{Name: "membership", Unit: "host known; look at a domain of 53", CPUTime: spent, MemoryBytes: kept}
}

func former(host plan.HostID) member.HostIncarnation {
	return member.HostIncarnation{Host: host, Incarnation: 1}
}

// homeSlope measures a ticket at its home.
func homeSlope() UnitCost {
	home := ticket.NewHome(former("home"), []byte("key"), time.Hour, 2*records)
	spent, kept := measure(records, func(i int) {
		t, err := home.Issue(epoch, "account", former("backup"))
		if err == nil {
			_, _, err = home.Use(epoch, t, "account", ticket.Hash{byte(i)})
		}
		if err != nil || !home.MarkDispatched(epoch, t) {
			panic("the home refused a fresh ticket")
		}
		home.Finish(t, ticket.Ran, "")
	})
	runtime.KeepAlive(home)
	return UnitCost{Name: "ticket home", Unit: "ticket used, without its answer", CPUTime: spent, MemoryBytes: kept}
}

// backupSlope measures a ticket at its backup.
func backupSlope() UnitCost {
	home := ticket.NewHome(former("home"), []byte("key"), time.Hour, records)
	tokens := make([]ticket.Token, records)
	for i := range tokens {
		t, err := home.Issue(epoch, "account", former("backup"))
		if err != nil {
			panic(err)
		}
		tokens[i] = t
	}
	backup := ticket.NewBackup(former("backup"), time.Hour, 2*records)
	spent, kept := measure(records, func(i int) { backup.RecordIntent(epoch, tokens[i]) })
	runtime.KeepAlive(backup)
	runtime.KeepAlive(tokens)
	size := float64(len(tokens[0]))
	return UnitCost{Name: "ticket backup", Unit: "intent", CPUTime: spent, MemoryBytes: kept + size, NetworkBytes: 2 * size}
}

// metricSlope measures the histograms of an account.
func metricSlope() UnitCost {
	set := metric.NewSet()
	accounts := PlannedSize().Accounts
	spent, kept := measure(accounts, func(i int) {
		for latency := range 30 {
			set.Decided(&audit.Decision{
				Account: plan.AccountID(fmt.Sprintf("account-%d", i)), Tier: plan.Tier(i%5 + 1), Class: "chat",
				FirstToken: plan.Duration(time.Duration(latency+1) * 17 * time.Millisecond),
			}, 0)
		}
	})
	runtime.KeepAlive(set)
	return UnitCost{Name: "metrics", Unit: "account; time of one request", CPUTime: spent / 30, MemoryBytes: kept}
}

// listSlopes measures the adoption of lists of the full size.
func listSlopes() ([]UnitCost, error) {
	var out []UnitCost
	for kind, list := range fullLists() {
		raw, err := json.Marshal(list)
		if err != nil {
			return nil, err
		}
		const times = 20
		states := make([]*plan.State, times)
		spent, kept := measure(times, func(i int) {
			states[i], err = plan.NewState().With(kind, raw)
		})
		if err != nil {
			return nil, err
		}
		runtime.KeepAlive(states)
		out = append(out, UnitCost{Name: "list " + string(kind), Unit: "version taken up", CPUTime: spent, MemoryBytes: kept + float64(len(raw)), NetworkBytes: float64(len(raw))})
	}
	return out, nil
}

// fullLists returns lists of the size to come.
func fullLists() map[plan.Kind]any {
	size := PlannedSize()
	plans := plan.Plans{Version: 1, Plans: []plan.Plan{{ID: "plan", Tier: 1}}}
	for i := range size.Accounts {
		plans.Accounts = append(plans.Accounts, plan.Account{
			ID: plan.AccountID(fmt.Sprintf("account-%04d", i)), Plan: "plan", KeyHashes: []string{fmt.Sprintf("%064x", i)},
		})
	}
	upstreams := plan.Upstreams{Version: 1}
	for i := range size.Upstreams {
		upstreams.Upstreams = append(upstreams.Upstreams, plan.Upstream{
			ID: plan.UpstreamID(fmt.Sprintf("engine-%04d", i)), Address: "10.200.200.200:65000", Domain: "region-1-domain-1",
			Kind: plan.Engine, Models: []plan.ModelID{"model-1", "model-2"}, Slots: 96, State: plan.Live,
		})
	}
	hosts := plan.Hosts{Version: 1}
	for i := range size.Hosts {
		s := selfOf(i)
		hosts.Hosts = append(hosts.Hosts, plan.Host{ID: s.ID, Peer: s.Peer, Domain: s.Domain, Region: s.Region, State: plan.Live})
	}
	return map[plan.Kind]any{plan.KindPlans: plans, plan.KindUpstreams: upstreams, plan.KindHosts: hosts}
}

// answerer answers the calls that linkSlopes measures.
type answerer struct{}

// Beat answers a heartbeat.
func (answerer) Beat(args *peer.BeatArgs, reply *peer.BeatReply) error {
	reply.Beat = args.Beat
	return args.Check()
}

// Ask grants at once.
func (answerer) Ask(args *peer.AskArgs, reply *peer.AskReply) error {
	reply.Command = pool.Command{Kind: pool.Grant, ID: args.Ask.Ask.ID, Upstream: "region-1-domain-1-engine-0001"}
	return args.Check()
}

// Report takes reports in.
func (answerer) Report(args *peer.ReportArgs, _ *peer.None) error { return args.Check() }

// linkSlopes measures messages between hosts over loopback, both ends together.
func linkSlopes() ([]UnitCost, error) {
	traffic := &peer.Traffic{}
	server, stop, err := peer.Listen("127.0.0.1:0", "a key for measurements", answerer{}, &peer.Traffic{})
	if err != nil {
		return nil, err
	}
	defer stop()
	client, cleanup := peer.NewClient("a key for measurements", traffic)
	defer cleanup()
	ctx := context.Background()
	one := func(name, unit string, call func(i int) error) (UnitCost, error) {
		for i := range 10 {
			if err := call(i); err != nil {
				return UnitCost{}, err
			}
		}
		before := traffic.In.Load() + traffic.Out.Load()
		var failed error
		spent, _ := measure(calls, func(i int) {
			if err := call(i); err != nil {
				failed = err
			}
		})
		bytes := float64(traffic.In.Load()+traffic.Out.Load()-before) / calls
		return UnitCost{Name: name, Unit: unit, CPUTime: spent, NetworkBytes: bytes}, failed
	}
	id := pool.ID{Name: "model-1", Kind: plan.Engine, Domain: "region-1-domain-1"}
	beat, err := one("heartbeat", "exchange, both ends", func(int) error {
		args := &peer.BeatArgs{Beat: member.Heartbeat{Self: selfOf(1), Versions: plan.Versions{Plans: 1000, Entitlements: 1000, Upstreams: 1000, Hosts: 1000}}}
		return client.Call(ctx, server.Address(), "Beat", args, &peer.BeatReply{})
	})
	if err != nil {
		return nil, err
	}
	ask, err := one("remote grant", "request, both ends", func(i int) error {
		a := askOf(i)
		if err := client.Call(ctx, server.Address(), "Ask", &peer.AskArgs{Pool: id, Ask: peer.NewAsk(epoch, a)}, &peer.AskReply{}); err != nil {
			return err
		}
		args := &peer.ReportArgs{Pool: id, Ended: []pool.Ended{{ID: a.ID, Outcome: pool.Done, Output: 300}}}
		return client.Call(ctx, server.Address(), "Report", args, &peer.None{})
	})
	return []UnitCost{beat, ask}, err
}

// loadSlope measures the read of a load report, the engine's end included.
func loadSlope() (UnitCost, error) {
	engine, cleanup := standin.NewEngine(standin.DefaultEngineOptions("engine"))
	defer cleanup()
	address, stop, err := engine.Serve("127.0.0.1:0")
	if err != nil {
		return UnitCost{}, err
	}
	defer stop()
	direct, end := upstream.NewClient(plan.Upstream{ID: "direct", Address: address}, time.Second)
	defer end()
	read := func(c *upstream.Client) (time.Duration, error) {
		var failed error
		spent, _ := measure(calls, func(int) {
			if _, err := c.Load(context.Background()); err != nil {
				failed = err
			}
		})
		return spent, failed
	}
	spent, err := read(direct)
	if err != nil {
		return UnitCost{}, err
	}
	meter, err := newMeter(address)
	if err != nil {
		return UnitCost{}, err
	}
	defer meter.close()
	metered, finish := upstream.NewClient(plan.Upstream{ID: "metered", Address: meter.address()}, time.Second)
	defer finish()
	_, err = read(metered)
	return UnitCost{Name: "load report", Unit: "read", CPUTime: spent, NetworkBytes: float64(meter.bytes.Load()) / calls}, err
}
