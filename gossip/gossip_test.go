package gossip

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"mulberrydyke/catalog"
	"mulberrydyke/dispatch"
	"mulberrydyke/drain"
	"mulberrydyke/plan"
	"mulberrydyke/quarantine"
	"mulberrydyke/ratelimit"
	"mulberrydyke/route"
)

var start = time.Date(2026, 3, 1, 9, 0, 0, 0, time.UTC)

func at(offset time.Duration) time.Time { return start.Add(offset) }

func addr(i int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}) }

func newMessage(i int, d plan.DomainID, sequence uint64) *Message {
	return &Message{Protocol: protocolVersion, Host: plan.HostID(fmt.Sprintf("h%02d", i)), Domain: d, Incarnation: 1, Sequence: sequence, Group: 1}
}

// testMembers returns the members known to host h05 of domain a after it has
// received messages of hosts 1 to 9 of its domain and 11 to 13 of domain b.
func testMembers() *Members {
	m := NewMembers(start, addr(5), "h05", "a", nil)
	for i := 1; i <= 9; i++ {
		m.HandleMessage(start, addr(i), newMessage(i, "a", 1))
	}
	for i := 11; i <= 13; i++ {
		m.HandleMessage(start, addr(i), newMessage(i, "b", 1))
	}
	return m
}

func TestHandleMessageIgnoresStaleMessages(t *testing.T) {
	m := NewMembers(start, addr(5), "h05", "a", nil)
	if !m.HandleMessage(start, addr(1), newMessage(1, "a", 5)) {
		t.Error("the first message was ignored")
	}
	if m.HandleMessage(start, addr(1), newMessage(1, "a", 4)) {
		t.Error("an older message was accepted")
	}
	restarted := newMessage(1, "a", 1)
	restarted.Incarnation = 2
	if !m.HandleMessage(start, addr(1), restarted) {
		t.Error("the message of a restarted host was ignored")
	}
}

func TestReportersAreFirstHostsByAddress(t *testing.T) {
	m := testMembers()
	if got := m.Role(start); got != RoleMember {
		t.Errorf("role of the fifth host is %d", got)
	}
	if got := m.Role(at(liveTimeout)); got != RoleReporter {
		t.Errorf("role of a host that hears no other host is %d", got)
	}
	for range reportersPerDomain {
		if targets := m.Targets(start, false); len(targets.Domains) != 0 || len(targets.Rest) != 0 {
			t.Errorf("a host that does not speak for its group sends reports of others: %+v", targets)
		}
	}
}

func TestReporterTargetsReportersOfOtherDomains(t *testing.T) {
	m := NewMembers(start, addr(1), "h01", "a", nil)
	for i := 11; i <= 15; i++ {
		msg := newMessage(i, "b", 1)
		if i < 13 {
			msg.Role = RoleReporter
		}
		m.HandleMessage(start, addr(i), msg)
	}
	var got []netip.Addr
	for range reportersPerDomain {
		got = append(got, m.Targets(start, false).Domains...)
	}
	if diff := cmp.Diff([]netip.Addr{addr(11), addr(12)}, got, cmpopts.EquateComparable(netip.Addr{})); diff != "" {
		t.Error(diff)
	}
}

func TestTargetsRespectsFanout(t *testing.T) {
	m := NewMembers(start, addr(200), "h99", "a", nil)
	for i := 1; i < meanGroupSize; i++ {
		m.HandleMessage(start, addr(i), newMessage(i, "a", 1))
	}
	reached := map[netip.Addr]bool{}
	for range 2 {
		group := m.Targets(start, false).Group
		if len(group) > fanout {
			t.Fatalf("%d targets in one round, want at most fanout", len(group))
		}
		for _, a := range group {
			reached[a] = true
		}
	}
	if len(reached) != meanGroupSize-1 {
		t.Errorf("%d of %d hosts reached in two rounds", len(reached), meanGroupSize-1)
	}
	if everyone := m.Targets(start, true).Group; len(everyone) != meanGroupSize-1 {
		t.Errorf("%d of %d hosts are targets of a message to the whole group", len(everyone), meanGroupSize-1)
	}
}

// TestMustReadReplacesFailedReaders checks that the first two hosts of a domain read
// the platform's store, and that one of the others takes over if both lose it or fall
// silent.
func TestMustReadReplacesFailedReaders(t *testing.T) {
	m := testMembers()
	if m.MustRead(start, false) {
		t.Error("MustRead is true before peers could answer")
	}
	if !m.MustRead(at(startWait+4*readerTurn), false) {
		t.Error("MustRead is false though no host reads")
	}
	for _, i := range []int{1, 2} {
		msg := newMessage(i, "a", 2)
		msg.Reader = addr(i)
		m.HandleMessage(start, addr(i), msg)
	}
	if m.MustRead(start, true) {
		t.Error("MustRead is true though hosts that come before read")
	}
	m.HandleMessage(start, addr(2), newMessage(2, "a", 3))
	if m.MustRead(start, false) {
		t.Error("MustRead is true though one reader is left")
	}
	lostAt := at(settleTime)
	for i := 1; i <= 4; i++ {
		m.HandleMessage(lostAt, addr(i), newMessage(i, "a", 9))
	}
	if m.MustRead(lostAt, false) {
		t.Error("MustRead is true before the turn of this host")
	}
	if !m.MustRead(lostAt.Add(4*readerTurn), false) {
		t.Error("MustRead is false though the readers are silent and four hosts have had their turn")
	}
}

// TestReportersReadAfterTheirStart checks that a host that precedes the readers takes
// over from them, but not before it had time to hear the other hosts.
func TestReportersReadAfterTheirStart(t *testing.T) {
	m := NewMembers(start, addr(1), "h01", "a", nil)
	reader := func(i int, sequence uint64) *Message {
		msg := newMessage(i, "a", sequence)
		msg.Reader, msg.Role = addr(i), RoleReporter
		return msg
	}
	m.HandleMessage(start, addr(2), reader(2, 1))
	m.HandleMessage(start, addr(3), reader(3, 1))
	if m.MustRead(start, false) {
		t.Error("MustRead is true at a host that has just started, though another reads")
	}
	m.HandleMessage(at(settleTime), addr(2), reader(2, 2))
	if !m.MustRead(at(settleTime), false) {
		t.Error("MustRead is false at the first host of the domain")
	}
}

func TestPeerWithNewerListsReturnsLiveHost(t *testing.T) {
	m := testMembers()
	if _, ok := m.PeerWithNewerLists(start, 3, route.Position{Revision: 10}); ok {
		t.Error("a peer was returned though none has newer lists")
	}
	msg := newMessage(7, "a", 2)
	msg.TableVersion, msg.Position.Revision = 4, 12
	m.HandleMessage(start, addr(7), msg)
	if got, ok := m.PeerWithNewerLists(start, 3, route.Position{Revision: 10}); !ok || got != addr(7) {
		t.Errorf("peer with newer lists: %v, %v", got, ok)
	}
	if _, ok := m.PeerWithNewerLists(at(liveTimeout), 3, route.Position{Revision: 10}); ok {
		t.Error("a silent host was returned")
	}
}

// TestHostsFetchFromDifferentPeers guards against all hosts fetching from one
// peer. After a rolling restart, all hosts of a domain fetched 1,400 routes from
// the same host over a 10 Mbit/s link (workload skjold-fleet-grown, run trouble-2).
func TestHostsFetchFromDifferentPeers(t *testing.T) {
	used := map[netip.Addr]bool{}
	for self := 30; self < 60; self++ {
		m := NewMembers(start, addr(self), plan.HostID(fmt.Sprintf("h%02d", self)), "a", nil)
		for i := 1; i <= 9; i++ {
			msg := newMessage(i, "a", 1)
			msg.Position.Revision = 9
			m.HandleMessage(start, addr(i), msg)
		}
		remote := newMessage(20, "b", 1)
		remote.Position.Revision = 12
		m.HandleMessage(start, addr(20), remote)
		got, _ := m.PeerWithNewerLists(start, 0, route.Position{Revision: 3})
		if got == addr(20) {
			t.Fatal("a host of another domain was preferred to the local domain")
		}
		used[got] = true
	}
	if len(used) < 5 {
		t.Errorf("30 hosts fetch from only %d of 9 peers", len(used))
	}
}

func TestCompressRoundTrip(t *testing.T) {
	want := bytes.Repeat([]byte("routes and routes "), 5000)
	compressed, err := compress(want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := decompress(compressed)
	if err != nil || !bytes.Equal(got, want) || len(compressed) > len(want)/5 {
		t.Errorf("%d bytes, compressed %d, decompressed %d, error %v", len(want), len(compressed), len(got), err)
	}
	if _, err := decompress([]byte("noise")); err == nil {
		t.Error("invalid data was decompressed")
	}
}

func TestMessageEncodingRoundTrip(t *testing.T) {
	m := newMessage(1, "a", 7)
	m.TableVersion, m.Position.Revision, m.Reader, m.ReaderAge = 3, 9, addr(4), time.Second
	m.Peers = []DomainPeers{{Domain: "a", Hosts: []Peer{newPeer(addr(2), RoleSpeaker, time.Second)}}}
	m.Kind, m.Hosts = KindDomain, 4
	m.Report = dispatch.Report{
		Loads:    []dispatch.Load{{Upstream: 5, Short: 1, PendingTokens: 30, ArrivalRate: 40}},
		Services: []dispatch.ServiceReport{{Service: "pool", WantedShortEngines: 3, Prefill: dispatch.PrefillTiming{Speed: dispatch.QuantileEstimate{Value: 70, Weight: 4}}}},
	}
	m.Suspects = []quarantine.Suspect{{Key: 8, Depth: 1, Crashes: []quarantine.Crash{{ID: 9, AgeMillis: 1}}}}
	raw, err := m.Encode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(raw)
	if err != nil {
		t.Fatal(err)
	}
	ignore := cmpopts.IgnoreUnexported(dispatch.Report{}, dispatch.Load{}, dispatch.ServiceReport{}, dispatch.PrefillTiming{}, dispatch.QuantileEstimate{}, dispatch.SendCounts{}, DomainPeers{}, Peer{})
	if diff := cmp.Diff(m, got, ignore, cmpopts.EquateComparable(netip.Addr{})); diff != "" {
		t.Error(diff)
	}
}

func TestDecodeRejectsInvalidMessages(t *testing.T) {
	for name, mutate := range map[string]func(*Message){
		"another protocol":        func(m *Message) { m.Protocol = 1 },
		"missing host":            func(m *Message) { m.Host = "" },
		"missing domain":          func(m *Message) { m.Domain = "" },
		"too many peers":          func(m *Message) { m.Peers = []DomainPeers{{Domain: "a", Hosts: make([]Peer, maxHelloPeers+1)}} },
		"peer without an address": func(m *Message) { m.Peers = []DomainPeers{{Domain: "a", Hosts: make([]Peer, 1)}} },
		"too many domains":        func(m *Message) { m.Peers = make([]DomainPeers, maxPeerDomains+1) },
		"missing group":           func(m *Message) { m.Group = 0 },
		"negative load":           func(m *Message) { m.Report.Loads = []dispatch.Load{{PendingTokens: -1}} },
		"too many suspects":       func(m *Message) { m.Suspects = make([]quarantine.Suspect, maxSuspects+1) },
		"suspect without crashes": func(m *Message) { m.Suspects = []quarantine.Suspect{{Key: 1, Depth: 1}} },
		"unknown kind":            func(m *Message) { m.Kind = KindDrains + 1 },
		"too many drains":         func(m *Message) { m.Drains = make([]drain.Update, maxDrains+1) },
		"drain without a process": func(m *Message) { m.Drains = make([]drain.Update, 1) },
		"drain of the future":     func(m *Message) { m.Drains = []drain.Update{{Key: 1, UnlistedMillis: -1}} },
		"ask without a limit":     func(m *Message) { m.Kind, m.Ask = KindPermitAsk, &ratelimit.Ask{Key: 1} },
		"cold limit of nothing": func(m *Message) {
			m.Kind, m.Ask = KindPermitAsk, &ratelimit.Ask{Key: 1, Rate: 1, Cold: ratelimit.ColdLimit{Rate: 1, Burst: 0.5}}
		},
		"domain without a name": func(m *Message) { m.Report.Domains = make([]dispatch.DomainAge, 1) },
	} {
		m := newMessage(1, "a", 1)
		mutate(m)
		raw, err := m.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(raw); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
	if _, err := Decode([]byte("noise")); err == nil {
		t.Error("invalid data was accepted")
	}
}

// fakeLists implements Lists with a single revision, and sends each merged
// revision to merged.
type fakeLists struct {
	mu       sync.Mutex
	revision uint64
	merged   chan uint64
}

func (l *fakeLists) Versions() (plan.Version, route.Position) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return plan.Version(l.revision), route.Position{Revision: l.revision}
}

func (l *fakeLists) Reading() bool                { return false }
func (l *fakeLists) SetReadDuty(catalog.ReadDuty) {}

func (l *fakeLists) StoreState() catalog.StoreState { return catalog.StoreState{} }

func (l *fakeLists) RecordServedElsewhere(catalog.ServedSpan) {}

func (l *fakeLists) Snapshot(route.Position, plan.Version) ([]byte, error) {
	_, position := l.Versions()
	return json.Marshal(position.Revision)
}

func (l *fakeLists) Merge(raw []byte) error {
	var revision uint64
	if err := json.Unmarshal(raw, &revision); err != nil {
		return err
	}
	l.mu.Lock()
	l.revision = revision
	l.mu.Unlock()
	l.merged <- revision
	return nil
}

// TestHostBehindFetchesLists runs two hosts on loopback. The one that is behind
// must fetch the newer lists when it receives a message.
func TestHostBehindFetchesLists(t *testing.T) {
	port := freePort(t)
	startNode := func(last byte, revision uint64) (*Node, *fakeLists) {
		ip := netip.AddrFrom4([4]byte{127, 0, 0, last})
		lists := &fakeLists{revision: revision, merged: make(chan uint64, 1)}
		n, cleanup, err := Listen(Options{
			Host: plan.HostID(ip.String()), Domain: "a", Incarnation: 1, IP: ip, DatagramPort: port, RPCAddr: netip.AddrPortFrom(ip, port),
			Seeds:    []netip.AddrPort{netip.MustParseAddrPort("127.0.0.2:1"), netip.MustParseAddrPort("127.0.0.3:1")},
			Balancer: dispatch.NewBalancer("h", "a", time.Second), Quarantine: quarantine.NewTable("h"), Limiter: ratelimit.NewLimiter(time.Now(), netip.MustParseAddr("127.0.0.1"), "a", nil), Drains: drain.NewTable(func() {}), Lists: lists, Log: slog.New(slog.DiscardHandler), Now: time.Now,
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(cleanup)
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		go n.Receive()
		go n.Run(ctx)
		return n, lists
	}
	_, behind := startNode(2, 1)
	ahead, _ := startNode(3, 9)
	ahead.Broadcast()
	if got := <-behind.merged; got != 9 {
		t.Errorf("merged revision %d, want 9", got)
	}
}

func freePort(t *testing.T) uint16 {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.2:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return netip.MustParseAddrPort(l.Addr().String()).Port()
}
