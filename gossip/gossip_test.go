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

	"mulberrydyke/dispatch"
	"mulberrydyke/plan"
	"mulberrydyke/pool"
	"mulberrydyke/quarantine"
)

var start = time.Date(2026, 3, 1, 9, 0, 0, 0, time.UTC)

func at(span time.Duration) time.Time { return start.Add(span) }

func addr(i int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}) }

func message(i int, d plan.DomainID, sequence uint64) *Message {
	return &Message{Protocol: protocolVersion, Host: plan.HostID(fmt.Sprintf("h%02d", i)), Domain: d, Incarnation: 1, Sequence: sequence}
}

// members returns what host h05 of domain a knows after it heard hosts 1 to 9 of
// its domain and 11 to 13 of domain b.
func members() *Members {
	m := NewMembers(start, addr(5), "h05", "a", nil)
	for i := 1; i <= 9; i++ {
		m.HandleMessage(start, addr(i), message(i, "a", 1))
	}
	for i := 11; i <= 13; i++ {
		m.HandleMessage(start, addr(i), message(i, "b", 1))
	}
	return m
}

func TestOldMessagesAreLeftOut(t *testing.T) {
	m := NewMembers(start, addr(5), "h05", "a", nil)
	if !m.HandleMessage(start, addr(1), message(1, "a", 5)) {
		t.Error("the first message was left out")
	}
	if m.HandleMessage(start, addr(1), message(1, "a", 4)) {
		t.Error("an older message was taken")
	}
	restarted := message(1, "a", 1)
	restarted.Incarnation = 2
	if !m.HandleMessage(start, addr(1), restarted) {
		t.Error("a restarted host's message was left out")
	}
}

func TestFirstHostsByNameSpeakForTheirDomain(t *testing.T) {
	m := members()
	if m.IsReporter(start) {
		t.Error("the fifth host speaks for its domain")
	}
	if !m.IsReporter(at(liveFor)) {
		t.Error("a host that hears nobody does not speak for its domain")
	}
	if _, far := m.Targets(start, false); len(far) != 0 {
		t.Errorf("a host that does not speak for its domain writes to %v", far)
	}
}

func TestReporterWritesToTheOtherDomainsReporters(t *testing.T) {
	m := NewMembers(start, addr(1), "h01", "a", nil)
	for i := 11; i <= 15; i++ {
		m.HandleMessage(start, addr(i), message(i, "b", 1))
	}
	var got []netip.Addr
	for range farEvery {
		_, far := m.Targets(start, false)
		got = append(got, far...)
	}
	if diff := cmp.Diff([]netip.Addr{addr(11), addr(12)}, got, cmpopts.EquateComparable(netip.Addr{})); diff != "" {
		t.Error(diff)
	}
}

func TestMessagesAreBoundedByFanout(t *testing.T) {
	m := NewMembers(start, addr(200), "h99", "a", nil)
	for i := 1; i <= 50; i++ {
		m.HandleMessage(start, addr(i), message(i, "a", 1))
	}
	reached := map[netip.Addr]bool{}
	for range 5 {
		near, _ := m.Targets(start, false)
		if len(near) > fanout {
			t.Fatalf("%d messages at once", len(near))
		}
		for _, a := range near {
			reached[a] = true
		}
	}
	if len(reached) != 50 {
		t.Errorf("%d of 50 hosts reached in five rounds", len(reached))
	}
	if all, _ := m.Targets(start, true); len(all) != 50 {
		t.Errorf("%d of 50 hosts are told of newer lists", len(all))
	}
}

// Two hosts of a domain read the platform. Where they don't, the next ones do.
func TestReadingMovesOnWhereReadersLoseThePlatform(t *testing.T) {
	m := members()
	if !m.MustRead(start) {
		t.Error("nobody reads and this host does not")
	}
	for _, i := range []int{1, 2} {
		msg := message(i, "a", 2)
		msg.Reading = true
		m.HandleMessage(start, addr(i), msg)
	}
	if m.MustRead(start) {
		t.Error("two read and this host does as well")
	}
	m.HandleMessage(start, addr(2), message(2, "a", 3))
	if !m.MustRead(start) {
		t.Error("one of two readers lost the platform and this host does not read")
	}
	if !m.MustRead(at(liveFor)) {
		t.Error("the readers are silent and this host does not read")
	}
}

func TestAheadNamesALiveHostWithNewerLists(t *testing.T) {
	m := members()
	if _, ok := m.PeerWithNewerLists(start, 3, 10); ok {
		t.Error("nobody is ahead")
	}
	msg := message(7, "a", 2)
	msg.TableVersion, msg.Revision = 4, 12
	m.HandleMessage(start, addr(7), msg)
	if got, ok := m.PeerWithNewerLists(start, 3, 10); !ok || got != addr(7) {
		t.Errorf("ahead is %v, %v", got, ok)
	}
	if _, ok := m.PeerWithNewerLists(at(liveFor), 3, 10); ok {
		t.Error("a silent host is named")
	}
}

// Seen on skjold-fleet-grown trouble-2: after a restart in a row, hosts of a
// domain all fetched 1,400 routes from the same host, over a link of 10 Mbit/s.
func TestHostsFetchFromDifferentPeers(t *testing.T) {
	used := map[netip.Addr]bool{}
	for self := 30; self < 60; self++ {
		m := NewMembers(start, addr(self), plan.HostID(fmt.Sprintf("h%02d", self)), "a", nil)
		for i := 1; i <= 9; i++ {
			msg := message(i, "a", 1)
			msg.Revision = 9
			m.HandleMessage(start, addr(i), msg)
		}
		far := message(20, "b", 1)
		far.Revision = 12
		m.HandleMessage(start, addr(20), far)
		got, _ := m.PeerWithNewerLists(start, 0, 3)
		if got == addr(20) {
			t.Fatal("another domain goes before the own")
		}
		used[got] = true
	}
	if len(used) < 5 {
		t.Errorf("30 hosts fetch from %d of 9", len(used))
	}
}

func TestSnapshotSurvivesItsPacking(t *testing.T) {
	want := bytes.Repeat([]byte("routes and routes "), 5000)
	packed, err := pack(want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := unpack(packed)
	if err != nil || !bytes.Equal(got, want) || len(packed) > len(want)/5 {
		t.Errorf("%d bytes, packed %d, unpacked %d, error %v", len(want), len(packed), len(got), err)
	}
	if _, err := unpack([]byte("noise")); err == nil {
		t.Error("noise was unpacked")
	}
}

func TestMessageSurvivesItsEncoding(t *testing.T) {
	m := message(1, "a", 7)
	m.TableVersion, m.Revision, m.Reading, m.Peers = 3, 9, true, []netip.Addr{addr(2)}
	m.Report = dispatch.Report{
		Loads: []dispatch.Load{{Upstream: 5, Short: 1, Pending: 30, Arriving: 40}},
		Rates: []dispatch.Rate{{Service: "pool", Shorts: 3, Pace: dispatch.Pace{Speed: dispatch.Estimate{Value: 70, Weight: 4}}}},
	}
	m.Domains = []DomainReport{{Domain: "b", Hosts: 4, Age: time.Second}}
	m.Suspects = []pool.Suspect{{Content: 8, Crashes: []pool.Crash{{Upstream: "u1", Instance: "i"}}, Left: time.Second}}
	raw, err := m.Encode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(raw)
	if err != nil {
		t.Fatal(err)
	}
	ignore := cmpopts.IgnoreUnexported(dispatch.Report{}, dispatch.Load{}, dispatch.Rate{}, dispatch.Pace{}, dispatch.Estimate{}, dispatch.Sent{}, DomainReport{})
	if diff := cmp.Diff(m, got, ignore, cmpopts.EquateComparable(netip.Addr{})); diff != "" {
		t.Error(diff)
	}
}

func TestMessagesThatAreNotValid(t *testing.T) {
	for name, change := range map[string]func(*Message){
		"another protocol":          func(m *Message) { m.Protocol = 1 },
		"no sender":                 func(m *Message) { m.Host = "" },
		"too many peers":            func(m *Message) { m.Peers = make([]netip.Addr, peersMost+1) },
		"negative load":             func(m *Message) { m.Report.Loads = []dispatch.Load{{Pending: -1}} },
		"too many suspects":         func(m *Message) { m.Suspects = make([]pool.Suspect, suspectsMost+1) },
		"a suspect without crashes": func(m *Message) { m.Suspects = []pool.Suspect{{Content: 1}} },
		"a nameless domain": func(m *Message) {
			m.Domains = []DomainReport{{Hosts: 1}}
		},
	} {
		m := message(1, "a", 1)
		change(m)
		raw, err := m.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(raw); err == nil {
			t.Errorf("%s: taken", name)
		}
	}
	if _, err := Decode([]byte("noise")); err == nil {
		t.Error("noise was taken")
	}
}

// fakeLists counts versions and passes them on.
type fakeLists struct {
	mu       sync.Mutex
	revision uint64
	learned  chan uint64
}

func (l *fakeLists) Versions() (plan.Version, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return plan.Version(l.revision), l.revision
}

func (l *fakeLists) Reading() bool    { return false }
func (l *fakeLists) SetMustRead(bool) {}

func (l *fakeLists) Snapshot(uint64) ([]byte, error) {
	_, revision := l.Versions()
	return json.Marshal(revision)
}

func (l *fakeLists) Merge(raw []byte) error {
	var revision uint64
	if err := json.Unmarshal(raw, &revision); err != nil {
		return err
	}
	l.mu.Lock()
	l.revision = revision
	l.mu.Unlock()
	l.learned <- revision
	return nil
}

// Two hosts on loopback: the one that is behind is told and fetches the lists.
func TestHostThatIsBehindFetchesTheLists(t *testing.T) {
	port := freePort(t)
	node := func(last byte, revision uint64) (*Node, *fakeLists) {
		ip := netip.AddrFrom4([4]byte{127, 0, 0, last})
		lists := &fakeLists{revision: revision, learned: make(chan uint64, 1)}
		n, cleanup, err := Listen(Options{
			Host: plan.HostID(ip.String()), Domain: "a", Incarnation: 1, IP: ip, DatagramPort: port, RPCAddr: netip.AddrPortFrom(ip, port),
			Seeds:      []netip.AddrPort{netip.MustParseAddrPort("127.0.0.2:1"), netip.MustParseAddrPort("127.0.0.3:1")},
			Dispatcher: dispatch.NewCore("h", "a", time.Second), Quarantine: quarantine.NewTable(), Lists: lists, Log: slog.New(slog.DiscardHandler), Now: time.Now,
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
	_, behind := node(2, 1)
	ahead, _ := node(3, 9)
	ahead.Broadcast()
	if got := <-behind.learned; got != 9 {
		t.Errorf("learned revision %d", got)
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
