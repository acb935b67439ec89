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

// fixedTime is the time that all measurements pass as the current time.
var fixedTime = time.Unix(1_000_000, 0)

const (
	// Numbers of runs over which each measurement takes its mean.
	schedulerRuns = 200_000
	heldRequests  = 20_000
	ticketRuns    = 20_000
	callRuns      = 3_000
)

// tierFloors returns a small capacity floor for every tier.
func tierFloors() [plan.LowestTier + 1]float64 {
	var floors [plan.LowestTier + 1]float64
	for tier := plan.HighestTier; tier <= plan.LowestTier; tier++ {
		floors[tier] = 0.02
	}
	return floors
}

// newScheduler returns a scheduler for the largest pool, in which every upstream
// of a domain serves the model.
func newScheduler() *pool.Scheduler {
	size := PlannedSize()
	scheduler := pool.NewScheduler(fixedTime, false, pool.NewSuspects())
	var upstreams []plan.Upstream
	for i := range size.Upstreams/size.Domains + 1 {
		upstreams = append(upstreams, plan.Upstream{ID: plan.UpstreamID(fmt.Sprintf("engine-%d", i)), Slots: 96, State: plan.Live, Models: []plan.ModelID{"m"}})
	}
	scheduler.Update(fixedTime, &pool.Reconfigured{Upstreams: upstreams, Floors: tierFloors(), Quarantine: time.Minute, LimitFraction: 1})
	return scheduler
}

// newRequest returns the i-th request of a mix of accounts, tiers and prefixes.
func newRequest(i int) pool.Request {
	return pool.Request{
		ID:      pool.RequestID{Host: "region-1-domain-1-host-0001", Incarnation: 1, Sequence: uint64(i)},
		Account: plan.AccountID(fmt.Sprintf("account-%d", i%PlannedSize().Accounts)), Class: "chat",
		Tier: plan.Tier(i%5 + 1), Share: 0.5, Prompt: 500, MaxOutput: 300, Content: pool.ContentHash(2*i + 1),
		Prefix: pool.PrefixHash(i % 97), Arrived: fixedTime, Idempotent: true,
		Target: plan.Target{FirstToken: plan.Duration(time.Hour), BetweenTokens: plan.Duration(time.Second)},
	}
}

// schedulingCost measures a request in the scheduler, from submission to end.
func schedulingCost() UnitCost {
	scheduler := newScheduler()
	used, _ := measure(schedulerRuns, func(i int) {
		request := newRequest(i)
		scheduler.Update(fixedTime, &pool.Submitted{Request: request})
		scheduler.Update(fixedTime, &pool.Ended{ID: request.ID, Outcome: pool.Done, Output: 300, Between: time.Millisecond})
	})
	return UnitCost{Name: "scheduler", Unit: "request, 86 upstreams", CPUTime: used}
}

// heldRequestCost measures the memory of a waiting or running request.
func heldRequestCost() UnitCost {
	scheduler := newScheduler()
	_, retained := measure(heldRequests, func(i int) { scheduler.Update(fixedTime, &pool.Submitted{Request: newRequest(i)}) })
	runtime.KeepAlive(scheduler)
	return UnitCost{Name: "scheduler", Unit: "request held", MemoryBytes: retained}
}

// identity returns the identity of the i-th host of a domain.
func identity(i int) member.Identity {
	return member.Identity{
		ID: plan.HostID(fmt.Sprintf("region-1-domain-1-host-%04d", i)), Incarnation: member.Incarnation(i + 1),
		Domain: "region-1-domain-1", Region: "region-1", Peer: "10.200.200.200:65000",
	}
}

// membershipCost measures the memory of a host in the membership table and the
// time to list the live hosts of one domain.
func membershipCost() UnitCost {
	hosts := PlannedSize().Hosts
	table := member.NewTable(identity(0))
	_, retained := measure(hosts, func(i int) { table.RecordHeartbeat(fixedTime, member.Heartbeat{Self: identity(i + 1)}, true) })
	domainTable := member.NewTable(identity(0))
	for i := range hosts / PlannedSize().Domains {
		domainTable.RecordHeartbeat(fixedTime, member.Heartbeat{Self: identity(i + 1)}, true)
	}
	used, _ := measure(schedulerRuns/100, func(int) { domainTable.Live(fixedTime, "region-1-domain-1") })
	runtime.KeepAlive(table)
	return UnitCost{Name: "membership", Unit: "host known; look at a domain of 53", CPUTime: used, MemoryBytes: retained}
}

func hostIncarnation(host plan.HostID) member.HostIncarnation {
	return member.HostIncarnation{Host: host, Incarnation: 1}
}

// ticketHomeCost measures a ticket at its home host.
func ticketHomeCost() UnitCost {
	home := ticket.NewHome(hostIncarnation("home"), []byte("key"), time.Hour, 2*ticketRuns)
	used, retained := measure(ticketRuns, func(i int) {
		token, err := home.Issue(fixedTime, "account", hostIncarnation("backup"))
		if err == nil {
			_, _, err = home.Use(fixedTime, token, "account", ticket.Hash{byte(i)})
		}
		if err != nil || !home.MarkDispatched(fixedTime, token) {
			panic("the home host refused a new ticket")
		}
		home.Finish(token, ticket.Ran, "")
	})
	runtime.KeepAlive(home)
	return UnitCost{Name: "ticket home", Unit: "ticket used, without its answer", CPUTime: used, MemoryBytes: retained}
}

// ticketBackupCost measures a ticket at its backup host.
func ticketBackupCost() UnitCost {
	home := ticket.NewHome(hostIncarnation("home"), []byte("key"), time.Hour, ticketRuns)
	tokens := make([]ticket.Token, ticketRuns)
	for i := range tokens {
		token, err := home.Issue(fixedTime, "account", hostIncarnation("backup"))
		if err != nil {
			panic(err)
		}
		tokens[i] = token
	}
	backup := ticket.NewBackup(hostIncarnation("backup"), time.Hour, 2*ticketRuns)
	used, retained := measure(ticketRuns, func(i int) { backup.RecordIntent(fixedTime, tokens[i]) })
	runtime.KeepAlive(backup)
	runtime.KeepAlive(tokens)
	tokenBytes := float64(len(tokens[0]))
	return UnitCost{Name: "ticket backup", Unit: "intent", CPUTime: used, MemoryBytes: retained + tokenBytes, NetworkBytes: 2 * tokenBytes}
}

// metricsCost measures the histograms of an account.
func metricsCost() UnitCost {
	set := metric.NewSet()
	accounts := PlannedSize().Accounts
	used, retained := measure(accounts, func(i int) {
		for step := range 30 {
			set.RecordDecision(&audit.Decision{
				Account: plan.AccountID(fmt.Sprintf("account-%d", i)), Tier: plan.Tier(i%5 + 1), Class: "chat",
				FirstToken: plan.Duration(time.Duration(step+1) * 17 * time.Millisecond),
			}, 0)
		}
	})
	runtime.KeepAlive(set)
	return UnitCost{Name: "metrics", Unit: "account; time of one request", CPUTime: used / 30, MemoryBytes: retained}
}

// listCosts measures decoding and storing a new version of each list at the
// planned size.
func listCosts() ([]UnitCost, error) {
	var costs []UnitCost
	for kind, list := range plannedLists() {
		raw, err := json.Marshal(list)
		if err != nil {
			return nil, err
		}
		const runs = 20
		states := make([]*plan.State, runs)
		used, retained := measure(runs, func(i int) {
			states[i], err = plan.NewState().WithList(kind, raw)
		})
		if err != nil {
			return nil, err
		}
		runtime.KeepAlive(states)
		costs = append(costs, UnitCost{Name: "list " + string(kind), Unit: "version taken up", CPUTime: used, MemoryBytes: retained + float64(len(raw)), NetworkBytes: float64(len(raw))})
	}
	return costs, nil
}

// plannedLists returns lists of the planned size.
func plannedLists() map[plan.ListKind]any {
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
		self := identity(i)
		hosts.Hosts = append(hosts.Hosts, plan.Host{ID: self.ID, Peer: self.Peer, Domain: self.Domain, Region: self.Region, State: plan.Live})
	}
	return map[plan.ListKind]any{plan.KindPlans: plans, plan.KindUpstreams: upstreams, plan.KindHosts: hosts}
}

// stubHandler serves the calls that peerCallCosts measures.
type stubHandler struct{}

// Beat replies to a heartbeat with the same heartbeat.
func (stubHandler) Beat(args *peer.BeatArgs, reply *peer.BeatReply) error {
	reply.Beat = args.Beat
	return args.Check()
}

// Ask grants every request at once.
func (stubHandler) Ask(args *peer.AskArgs, reply *peer.AskReply) error {
	reply.Command = pool.Command{Kind: pool.Grant, ID: args.Ask.Ask.ID, Upstream: "region-1-domain-1-engine-0001"}
	return args.Check()
}

// Report accepts every valid report.
func (stubHandler) Report(args *peer.ReportArgs, _ *peer.Empty) error { return args.Check() }

// peerCallCosts measures calls between hosts over loopback. The CPU time includes
// both ends.
func peerCallCosts() ([]UnitCost, error) {
	traffic := &peer.Traffic{}
	server, stop, err := peer.Listen("127.0.0.1:0", "a key for measurements", stubHandler{}, &peer.Traffic{})
	if err != nil {
		return nil, err
	}
	defer stop()
	client, cleanup := peer.NewClient("a key for measurements", traffic)
	defer cleanup()
	ctx := context.Background()
	measureCall := func(name, unit string, call func(i int) error) (UnitCost, error) {
		for i := range 10 {
			if err := call(i); err != nil {
				return UnitCost{}, err
			}
		}
		before := traffic.In.Load() + traffic.Out.Load()
		var lastErr error
		used, _ := measure(callRuns, func(i int) {
			if err := call(i); err != nil {
				lastErr = err
			}
		})
		bytes := float64(traffic.In.Load()+traffic.Out.Load()-before) / callRuns
		return UnitCost{Name: name, Unit: unit, CPUTime: used, NetworkBytes: bytes}, lastErr
	}
	poolID := pool.ID{Name: "model-1", Kind: plan.Engine, Domain: "region-1-domain-1"}
	heartbeat, err := measureCall("heartbeat", "exchange, both ends", func(int) error {
		args := &peer.BeatArgs{Beat: member.Heartbeat{Self: identity(1), Versions: plan.Versions{Plans: 1000, Entitlements: 1000, Upstreams: 1000, Hosts: 1000}}}
		return client.Call(ctx, server.Address(), "Beat", args, &peer.BeatReply{})
	})
	if err != nil {
		return nil, err
	}
	grant, err := measureCall("remote grant", "request, both ends", func(i int) error {
		request := newRequest(i)
		if err := client.Call(ctx, server.Address(), "Ask", &peer.AskArgs{Pool: poolID, Ask: peer.NewSlotRequest(fixedTime, request)}, &peer.AskReply{}); err != nil {
			return err
		}
		args := &peer.ReportArgs{Pool: poolID, Ended: []pool.Ended{{ID: request.ID, Outcome: pool.Done, Output: 300}}}
		return client.Call(ctx, server.Address(), "Report", args, &peer.Empty{})
	})
	return []UnitCost{heartbeat, grant}, err
}

// loadReportCost measures reading a load report. The CPU time includes the
// engine's end. The bytes are counted in a second series through a proxy, so that
// the proxy adds no CPU time to the first.
func loadReportCost() (UnitCost, error) {
	engine, stopEngine := standin.NewEngine(standin.DefaultEngineOptions("engine"))
	defer stopEngine()
	address, stopServer, err := engine.Serve("127.0.0.1:0")
	if err != nil {
		return UnitCost{}, err
	}
	defer stopServer()
	direct, closeDirect := upstream.NewClient(plan.Upstream{ID: "direct", Address: address}, time.Second)
	defer closeDirect()
	measureReads := func(c *upstream.Client) (time.Duration, error) {
		var lastErr error
		used, _ := measure(callRuns, func(int) {
			if _, err := c.LoadReport(context.Background()); err != nil {
				lastErr = err
			}
		})
		return used, lastErr
	}
	used, err := measureReads(direct)
	if err != nil {
		return UnitCost{}, err
	}
	proxy, err := newCountingProxy(address)
	if err != nil {
		return UnitCost{}, err
	}
	defer proxy.close()
	metered, closeMetered := upstream.NewClient(plan.Upstream{ID: "metered", Address: proxy.address()}, time.Second)
	defer closeMetered()
	_, err = measureReads(metered)
	return UnitCost{Name: "load report", Unit: "read", CPUTime: used, NetworkBytes: float64(proxy.bytes.Load()) / callRuns}, err
}
