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

// testHandler implements two methods of the protocol. Beat blocks until unblock is
// closed.
type testHandler struct{ unblock chan struct{} }

// Fetch returns the requested kind as the list.
func (h *testHandler) Fetch(args *FetchArgs, reply *FetchReply) error {
	reply.Raw = []byte(args.Kind)
	return nil
}

// Beat rejects an invalid heartbeat and blocks on a valid one.
func (h *testHandler) Beat(args *BeatArgs, _ *BeatReply) error {
	if err := args.Check(); err != nil {
		return err
	}
	<-h.unblock
	return nil
}

// newPair starts a server and returns a client with the given key and the server's
// address. At the end of the test it checks that no goroutine is left.
func newPair(t *testing.T, key string) (*Client, string) {
	t.Helper()
	existingGoroutines := goleak.IgnoreCurrent()
	handler := &testHandler{unblock: make(chan struct{})}
	server, stop, err := Listen("127.0.0.1:0", testKey, handler, &Traffic{})
	if err != nil {
		t.Fatal(err)
	}
	client, cleanup := NewClient(key, &Traffic{})
	t.Cleanup(func() {
		close(handler.unblock)
		cleanup()
		stop()
		goleak.VerifyNone(t, existingGoroutines)
	})
	return client, server.Address()
}

// TestCallReturnsReplyOrRemoteError checks the results of a call that succeeds and of
// one for which the handler returns an error.
func TestCallReturnsReplyOrRemoteError(t *testing.T) {
	client, address := newPair(t, testKey)
	var reply FetchReply
	if err := client.Call(t.Context(), address, "Fetch", &FetchArgs{Kind: plan.KindPlans}, &reply); err != nil {
		t.Fatal(err)
	}
	if string(reply.Raw) != "plans" {
		t.Errorf("got %q", reply.Raw)
	}
	var remoteErr *RemoteError
	if err := client.Call(t.Context(), address, "Beat", &BeatArgs{}, &BeatReply{}); !errors.As(err, &remoteErr) {
		t.Errorf("invalid message: got %v, want a RemoteError", err)
	}
}

// TestWrongKeyFailsHandshake checks that a client with another key sends no call.
func TestWrongKeyFailsHandshake(t *testing.T) {
	client, address := newPair(t, "another key altogether")
	var transportErr *TransportError
	err := client.Call(t.Context(), address, "Fetch", &FetchArgs{}, &FetchReply{})
	if !errors.As(err, &transportErr) || transportErr.Sent {
		t.Errorf("got %v", err)
	}
}

// TestCallReturnsAtContextDeadline calls a method that blocks.
func TestCallReturnsAtContextDeadline(t *testing.T) {
	client, address := newPair(t, testKey)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	args := &BeatArgs{}
	args.Beat.Self.ID, args.Beat.Self.Domain, args.Beat.Self.Incarnation = "h", "d", 1
	var transportErr *TransportError
	if err := client.Call(ctx, address, "Beat", args, &BeatReply{}); !errors.As(err, &transportErr) || !transportErr.Sent {
		t.Errorf("got %v", err)
	}
}

// TestOversizedMessageClosesConnection checks that a message above MaxMessageBytes fails
// and that the next call uses a new connection.
func TestOversizedMessageClosesConnection(t *testing.T) {
	client, address := newPair(t, testKey)
	args := &FetchArgs{Kind: plan.ListKind(bytes.Repeat([]byte("x"), MaxMessageBytes+1))}
	var transportErr *TransportError
	if err := client.Call(t.Context(), address, "Fetch", args, &FetchReply{}); !errors.As(err, &transportErr) {
		t.Errorf("got %v", err)
	}
	if err := client.Call(t.Context(), address, "Fetch", &FetchArgs{}, &FetchReply{}); err != nil {
		t.Errorf("next call, on a new connection: %v", err)
	}
}

// TestInvalidHandshakeDoesNotAffectOtherCalls sends bytes that are not a valid handshake
// on one connection and calls the server on another.
func TestInvalidHandshakeDoesNotAffectOtherCalls(t *testing.T) {
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

// TestCheckRejectsInvalidMessages checks that each invalid field of AskArgs is rejected.
func TestCheckRejectsInvalidMessages(t *testing.T) {
	valid := AskArgs{Pool: pool.ID{Name: "m"}, Ask: SlotRequest{Ask: pool.Request{
		ID: pool.RequestID{Host: "h"}, Account: "a", Tier: 1, Share: 0.5,
	}}}
	for name, modify := range map[string]func(*AskArgs){
		"no pool":         func(a *AskArgs) { a.Pool.Name = "" },
		"no account":      func(a *AskArgs) { a.Ask.Ask.Account = "" },
		"tier 0":          func(a *AskArgs) { a.Ask.Ask.Tier = 0 },
		"tier 9":          func(a *AskArgs) { a.Ask.Ask.Tier = 9 },
		"no share":        func(a *AskArgs) { a.Ask.Ask.Share = 0 },
		"negative prompt": func(a *AskArgs) { a.Ask.Ask.Prompt = -1 },
		"negative age":    func(a *AskArgs) { a.Ask.Age = -time.Second },
	} {
		invalid := valid
		modify(&invalid)
		var messageErr *MessageError
		if err := invalid.Check(); !errors.As(err, &messageErr) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if err := valid.Check(); err != nil {
		t.Error(err)
	}
}
