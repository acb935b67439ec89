package peer

import (
	"bytes"
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"

	"mulberrydyke/plan"
	"mulberrydyke/pool"
)

const testKey = "a key for tests only"

// echo is a handler for tests.
type echo struct{ block chan struct{} }

// Fetch returns the kind as bytes.
func (e *echo) Fetch(args *FetchArgs, reply *FetchReply) error {
	reply.Raw = []byte(args.Kind)
	return nil
}

// Beat blocks.
func (e *echo) Beat(args *BeatArgs, _ *BeatReply) error {
	if err := args.Check(); err != nil {
		return err
	}
	<-e.block
	return nil
}

func newPair(t *testing.T, key string) (*Client, string) {
	t.Helper()
	before := goleak.IgnoreCurrent()
	handler := &echo{block: make(chan struct{})}
	server, stop, err := Listen("127.0.0.1:0", testKey, handler, &Traffic{})
	if err != nil {
		t.Fatal(err)
	}
	client, cleanup := NewClient(key, &Traffic{})
	t.Cleanup(func() {
		close(handler.block)
		cleanup()
		stop()
		goleak.VerifyNone(t, before)
	})
	return client, server.Address()
}

func TestCallAndRefusal(t *testing.T) {
	client, address := newPair(t, testKey)
	var reply FetchReply
	if err := client.Call(t.Context(), address, "Fetch", &FetchArgs{Kind: plan.KindPlans}, &reply); err != nil {
		t.Fatal(err)
	}
	if string(reply.Raw) != "plans" {
		t.Errorf("got %q", reply.Raw)
	}
	var refused *RemoteError
	if err := client.Call(t.Context(), address, "Beat", &BeatArgs{}, &BeatReply{}); !errors.As(err, &refused) {
		t.Errorf("a message that is not valid: %v", err)
	}
}

func TestWrongKeyIsRefused(t *testing.T) {
	client, address := newPair(t, "another key altogether")
	var link *TransportError
	err := client.Call(t.Context(), address, "Fetch", &FetchArgs{}, &FetchReply{})
	if !errors.As(err, &link) || link.Sent {
		t.Errorf("got %v", err)
	}
}

func TestCallHasADeadline(t *testing.T) {
	client, address := newPair(t, testKey)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	args := &BeatArgs{}
	args.Beat.Self.ID, args.Beat.Self.Domain, args.Beat.Self.Incarnation = "h", "d", 1
	var link *TransportError
	if err := client.Call(ctx, address, "Beat", args, &BeatReply{}); !errors.As(err, &link) || !link.Sent {
		t.Errorf("got %v", err)
	}
}

// TestLargeMessageClosesTheConnection sends more than a message may hold.
func TestLargeMessageClosesTheConnection(t *testing.T) {
	client, address := newPair(t, testKey)
	args := &FetchArgs{Kind: plan.Kind(bytes.Repeat([]byte("x"), MaxMessageBytes+1))}
	var link *TransportError
	if err := client.Call(t.Context(), address, "Fetch", args, &FetchReply{}); !errors.As(err, &link) {
		t.Errorf("got %v", err)
	}
	if err := client.Call(t.Context(), address, "Fetch", &FetchArgs{}, &FetchReply{}); err != nil {
		t.Errorf("the next call, over a new connection: %v", err)
	}
}

// TestNoiseCostsNothing sends bytes that are no handshake.
func TestNoiseCostsNothing(t *testing.T) {
	client, address := newPair(t, testKey)
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = conn.Write(bytes.Repeat([]byte{0xff}, 1000))
	_ = conn.Close()
	if err := client.Call(t.Context(), address, "Fetch", &FetchArgs{}, &FetchReply{}); err != nil {
		t.Error(err)
	}
}

func TestMessagesCheckThemselves(t *testing.T) {
	good := AskArgs{Pool: pool.ID{Name: "m"}, Ask: SlotRequest{Ask: pool.Ask{
		ID: pool.RequestID{Host: "h"}, Account: "a", Tier: 1, Share: 0.5,
	}}}
	for name, change := range map[string]func(*AskArgs){
		"no pool":    func(a *AskArgs) { a.Pool.Name = "" },
		"no account": func(a *AskArgs) { a.Ask.Ask.Account = "" },
		"tier 0":     func(a *AskArgs) { a.Ask.Ask.Tier = 0 },
		"tier 9":     func(a *AskArgs) { a.Ask.Ask.Tier = 9 },
		"no share":   func(a *AskArgs) { a.Ask.Ask.Share = 0 },
		"negative":   func(a *AskArgs) { a.Ask.Ask.Prompt = -1 },
		"future":     func(a *AskArgs) { a.Ask.Age = -time.Second },
	} {
		bad := good
		change(&bad)
		var e *MessageError
		if err := bad.Check(); !errors.As(err, &e) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if err := good.Check(); err != nil {
		t.Error(err)
	}
}
