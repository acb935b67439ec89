package host_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulberrydyke/audit"
	"mulberrydyke/load"
	"mulberrydyke/plan"
	"mulberrydyke/setting"
	"mulberrydyke/standin"
)

// fleet is the deployment that all tests of this package share.
var fleet *load.Fleet

func TestMain(m *testing.M) {
	bounds := setting.DefaultBounds()
	bounds.BodyTimeout = plan.Duration(500 * time.Millisecond)
	f, cleanup, err := load.NewFleet(load.FleetOptions{
		Profile: load.Profiles()["blue-mahoe"], Domains: 1, HostsPerDomain: 2, EnginesPerDomain: 2,
		Engine: standin.DefaultEngineOptions(""), Bounds: bounds, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	if err != nil {
		panic(err)
	}
	fleet = f
	status := m.Run()
	cleanup()
	os.Exit(status)
}

// account returns the account whose key the tests send.
func account() plan.AccountID { return load.AccountID("counter-1", 0) }

// sendRequest sends a request with a key to the first host and returns the status and
// the body of the response. If there is no response, it returns zero and the text of
// the error.
func sendRequest(t *testing.T, method, path, key string, body io.Reader, header map[string]string) (int, string) {
	t.Helper()
	request, err := http.NewRequest(method, "http://"+fleet.Hosts[0].CallerAddress()+path, body)
	if err != nil {
		t.Fatal(err)
	}
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	data, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(data)
}

// errorResponse is the body of a refusal.
type errorResponse struct {
	Error struct{ Code, Outcome, Ticket string }
}

// codeAndOutcome returns the code and the outcome of a refusal, separated by a space.
func codeAndOutcome(body string) string {
	var response errorResponse
	_ = json.Unmarshal([]byte(body), &response)
	return response.Error.Code + " " + response.Error.Outcome
}

// chatBody returns the body of a chat completion request for five tokens.
func chatBody(prompt string) io.Reader {
	return bytes.NewReader(load.ChatBody("label", prompt, 5, false))
}

// endlessBody is a request body that never ends.
type endlessBody struct{ bytesRead int64 }

func (e *endlessBody) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	e.bytesRead += int64(len(p))
	return len(p), nil
}

// TestInvalidRequestsAreRefusedWithCode checks that every invalid request is refused
// with the matching status, error code and outcome.
func TestInvalidRequestsAreRefusedWithCode(t *testing.T) {
	key := load.AccountKey(account())
	chat := "/v1/chat/completions"
	for name, c := range map[string]struct {
		method, path, key string
		body              io.Reader
		header            map[string]string
		status            int
		codeAndOutcome    string
	}{
		"no key":                 {"POST", chat, "", chatBody("x"), nil, 401, "bad-key not-run"},
		"wrong key":              {"POST", chat, "nonsense", chatBody("x"), nil, 401, "bad-key not-run"},
		"truncated JSON":         {"POST", chat, key, strings.NewReader(`{"model": "la`), nil, 400, "bad-request not-run"},
		"no messages":            {"POST", chat, key, strings.NewReader(`{"model": "label"}`), nil, 400, "bad-request not-run"},
		"negative tokens":        {"POST", chat, key, strings.NewReader(`{"model": "label", "max_tokens": -1, "messages": [{"content": "x"}]}`), nil, 400, "bad-request not-run"},
		"unknown model":          {"POST", chat, key, bytes.NewReader(load.ChatBody("nonsense", "x", 1, false)), nil, 404, "not-found not-run"},
		"class not allowed":      {"POST", chat, key, chatBody("x"), map[string]string{"X-Class": "digest"}, 403, "class-not-allowed not-run"},
		"unknown path":           {"GET", "/v1/nonsense", key, nil, nil, 404, "not-found not-run"},
		"unknown service":        {"POST", "/v1/services/nonsense/x", key, chatBody("x"), nil, 404, "not-found not-run"},
		"relative path":          {"GET", "/v1/services/press/boxes/%2e%2e/labels", key, nil, nil, 400, "bad-request not-run"},
		"endless body":           {"POST", chat, key, &endlessBody{}, nil, 413, "body-too-large not-run"},
		"bad ticket":             {"POST", chat, key, chatBody("x"), map[string]string{"X-Class": "commission", "X-Ticket": "nonsense"}, 400, "ticket-invalid unknown"},
		"bad key, with a ticket": {"POST", chat, "nonsense", chatBody("x"), map[string]string{"X-Ticket": "nonsense"}, 401, "bad-key unknown"},
		"too many tickets":       {"POST", "/v1/tickets?count=1000", key, nil, nil, 400, "bad-request not-run"},
	} {
		t.Run(name, func(t *testing.T) {
			status, got := sendRequest(t, c.method, c.path, c.key, c.body, c.header)
			if status != c.status || codeAndOutcome(got) != c.codeAndOutcome {
				t.Errorf("got %d %s, want %d %s", status, got, c.status, c.codeAndOutcome)
			}
		})
	}
}

// TestSlowRequestBodyTimesOut sends the start of a body and then nothing.
func TestSlowRequestBodyTimesOut(t *testing.T) {
	reader, writer := io.Pipe()
	defer writer.Close()
	go func() { _, _ = writer.Write([]byte(`{"model": `)) }()
	status, got := sendRequest(t, "POST", "/v1/chat/completions", load.AccountKey(account()), reader, nil)
	if status != http.StatusRequestTimeout || codeAndOutcome(got) != "body-timeout not-run" {
		t.Errorf("got %d %s", status, got)
	}
}

// TestLargeContentLengthAllocatesNoMemory opens requests that announce a body of one
// gibibyte and send one byte of it. It guards against allocating a buffer of the
// announced length.
func TestLargeContentLengthAllocatesNoMemory(t *testing.T) {
	const senders, maxGrowthBytes = 50, 256 << 20
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range senders {
		conn, err := net.Dial("tcp", fleet.Hosts[0].CallerAddress())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 1073741824\r\n\r\n{", load.AccountKey(account()))
	}
	time.Sleep(200 * time.Millisecond)
	runtime.ReadMemStats(&after)
	if growth := int64(after.HeapAlloc) - int64(before.HeapAlloc); growth > maxGrowthBytes {
		t.Errorf("%d announced bodies of 1 GiB: the heap grew by %d bytes", senders, growth)
	}
}

// TestModelsOfAccountAreListed checks that the list of models contains a model of the
// account.
func TestModelsOfAccountAreListed(t *testing.T) {
	status, got := sendRequest(t, "GET", "/v1/models", load.AccountKey(account()), nil, nil)
	if status != 200 || !strings.Contains(got, `"label"`) {
		t.Errorf("got %d %s", status, got)
	}
}

// TestGoZeroMiddlewareIsDisabled checks that go-zero's default middleware is disabled.
// It would refuse a body above one megabyte, cut off a response after three seconds,
// and open a circuit breaker after failures.
func TestGoZeroMiddlewareIsDisabled(t *testing.T) {
	key := load.AccountKey(account())
	for range 200 {
		sendRequest(t, "POST", "/v1/chat/completions", key, strings.NewReader("{"), nil)
	}
	large := `{"model": "label", "max_tokens": 2, "user": "` + strings.Repeat("x", 2<<20) + `", "messages": [{"content": "x"}]}`
	if status, got := sendRequest(t, "POST", "/v1/chat/completions", key, strings.NewReader(large), nil); status != 200 {
		t.Errorf("body of 2 MiB: %d %.200s", status, got)
	}
	long := bytes.NewReader(load.ChatBody("label", "long", 350, false))
	if status, got := sendRequest(t, "POST", "/v1/chat/completions", key, long, nil); status != 200 {
		t.Errorf("response that takes 3.5 s: %d %.200s", status, got)
	}
}

// TestCallerDisconnectStopsGeneration checks that the engine stops generating tokens
// after the caller has disconnected.
func TestCallerDisconnectStopsGeneration(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+fleet.Hosts[0].CallerAddress()+"/v1/chat/completions",
		bytes.NewReader(load.ChatBody("label", "a caller who leaves", 100000, true)))
	request.Header.Set("Authorization", "Bearer "+load.AccountKey(account()))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	_, _ = io.ReadFull(response.Body, make([]byte, 100))
	cancel()
	generatedTokens := func() int {
		for _, e := range fleet.Engines {
			for _, entry := range e.Ledger().Entries() {
				if entry.ContentHash == standin.ContentHash("a caller who leaves") {
					return entry.GeneratedTokens
				}
			}
		}
		return 0
	}
	deadline := time.Now().Add(5 * time.Second)
	for time.Now().Before(deadline) {
		before := generatedTokens()
		time.Sleep(200 * time.Millisecond)
		if generatedTokens() == before && before > 0 {
			return
		}
	}
	t.Errorf("the engine still generates, after %d tokens", generatedTokens())
}

// TestDecisionsRecordListVersions checks that a decision records the versions of the
// lists it was made under, so that an auditor can compare the two.
func TestDecisionsRecordListVersions(t *testing.T) {
	sendRequest(t, "POST", "/v1/chat/completions", load.AccountKey(account()), chatBody("audited"), nil)
	response, err := http.Get("http://" + fleet.Hosts[0].OperatorAddress() + "/v1/decisions?most=1")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var got []audit.Decision
	if err := json.NewDecoder(response.Body).Decode(&got); err != nil || len(got) != 1 {
		t.Fatalf("%v %v", got, err)
	}
	want := plan.Versions{Plans: 1, Entitlements: 1, Upstreams: 1, Hosts: 1}
	if diff := cmp.Diff(want, got[0].Versions); diff != "" {
		t.Errorf("versions (-want +got):\n%s", diff)
	}
	if got[0].Account != account() || got[0].Tier != 1 || got[0].Outcome != "ran" {
		t.Errorf("decision: %+v", got[0])
	}
}

// TestMetricsByTierClassAndAccount checks the labels of the metrics of a request.
func TestMetricsByTierClassAndAccount(t *testing.T) {
	sendRequest(t, "POST", "/v1/chat/completions", load.AccountKey(account()), chatBody("measured"), nil)
	response, err := http.Get("http://" + fleet.Hosts[0].OperatorAddress() + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	raw, _ := io.ReadAll(response.Body)
	for _, want := range []string{
		`mulberrydyke_requests_total{tier="1",class="draft",code="done"}`,
		`mulberrydyke_first_token_seconds_bucket{tier="1",class="draft"`,
		`mulberrydyke_account_first_token_seconds_bucket{account="` + string(account()),
		`mulberrydyke_list_version{list="plans"} 1`,
	} {
		if !strings.Contains(string(raw), want) {
			t.Errorf("metric %s is missing", want)
		}
	}
}

// TestConcurrentCallersGetTheirOwnResponses sends many requests concurrently and
// checks that each caller gets the complete response to its own request.
func TestConcurrentCallersGetTheirOwnResponses(t *testing.T) {
	var wg sync.WaitGroup
	for i := range 60 {
		wg.Go(func() {
			prompt := fmt.Sprintf("caller %d", i)
			status, got := sendRequest(t, "POST", "/v1/chat/completions", load.AccountKey(account()), chatBody(prompt), map[string]string{"X-Class": "lookup"})
			want := ""
			for n := range 5 {
				want += standin.TokenText(standin.ContentHash(prompt), n)
			}
			if status != 200 || !strings.Contains(got, want) {
				t.Errorf("caller %d: %d %s, want %s", i, status, got, want)
			}
		})
	}
	wg.Wait()
}

// TestPlainServiceRunsTicketedCallOnce calls a plain service. An idempotent call needs
// no ticket. Any other call needs one and, repeated with the same ticket, runs once.
func TestPlainServiceRunsTicketedCallOnce(t *testing.T) {
	key := load.AccountKey(account())
	if status, got := sendRequest(t, "GET", "/v1/services/press/boxes/7?full=1", key, nil, nil); status != 200 || !strings.Contains(got, "/boxes/7") {
		t.Errorf("idempotent call: %d %s", status, got)
	}
	status, got := sendRequest(t, "POST", "/v1/services/press/labels", key, strings.NewReader("box 7"), nil)
	var ticketRequired errorResponse
	_ = json.Unmarshal([]byte(got), &ticketRequired)
	if status != http.StatusPreconditionRequired || ticketRequired.Error.Ticket == "" {
		t.Fatalf("call without a ticket: %d %s", status, got)
	}
	for range 3 {
		status, got = sendRequest(t, "POST", "/v1/services/press/labels", key, strings.NewReader("box 7"), map[string]string{"X-Ticket": ticketRequired.Error.Ticket})
		if status != 200 {
			t.Errorf("call with the ticket: %d %s", status, got)
		}
	}
	if runs := fleet.Service.Ledger().CountRuns(standin.ContentHash("box 7")); runs != 1 {
		t.Errorf("the service ran the call %d times, want 1", runs)
	}
}
