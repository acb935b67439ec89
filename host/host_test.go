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

var fleet *load.Fleet

func TestMain(m *testing.M) {
	bounds := setting.DefaultBounds()
	bounds.BodyTime = plan.Duration(500 * time.Millisecond)
	f, cleanup, err := load.NewFleet(load.FleetOptions{
		Profile: load.Profiles()["blue-mahoe"], Domains: 1, Hosts: 2, Engines: 2,
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

func account() plan.AccountID { return load.AccountOf("counter-1", 0) }

// do sends a request with a key and returns status and body.
func do(t *testing.T, method, path, key string, body io.Reader, header map[string]string) (int, string) {
	t.Helper()
	request, err := http.NewRequest(method, "http://"+fleet.Hosts[0].Callers()+path, body)
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
	raw, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(raw)
}

type refused struct {
	Error struct{ Code, Outcome, Ticket string }
}

func codeOf(body string) string {
	var r refused
	_ = json.Unmarshal([]byte(body), &r)
	return r.Error.Code + " " + r.Error.Outcome
}

func body(prompt string) io.Reader {
	return bytes.NewReader(load.ChatBody("label", prompt, 5, false))
}

// endless is a body that never ends.
type endless struct{ sent int64 }

func (e *endless) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	e.sent += int64(len(p))
	return len(p), nil
}

func TestBadInputGetsATypedRefusal(t *testing.T) {
	key := load.KeyOf(account())
	chat := "/v1/chat/completions"
	for name, c := range map[string]struct {
		method, path, key string
		body              io.Reader
		header            map[string]string
		status            int
		code              string
	}{
		"no key":                 {"POST", chat, "", body("x"), nil, 401, "bad-key not-run"},
		"wrong key":              {"POST", chat, "nonsense", body("x"), nil, 401, "bad-key not-run"},
		"cut-off JSON":           {"POST", chat, key, strings.NewReader(`{"model": "la`), nil, 400, "bad-request not-run"},
		"no messages":            {"POST", chat, key, strings.NewReader(`{"model": "label"}`), nil, 400, "bad-request not-run"},
		"negative tokens":        {"POST", chat, key, strings.NewReader(`{"model": "label", "max_tokens": -1, "messages": [{"content": "x"}]}`), nil, 400, "bad-request not-run"},
		"unknown model":          {"POST", chat, key, bytes.NewReader(load.ChatBody("nonsense", "x", 1, false)), nil, 404, "not-found not-run"},
		"foreign class":          {"POST", chat, key, body("x"), map[string]string{"X-Class": "digest"}, 403, "class-not-allowed not-run"},
		"unknown call":           {"GET", "/v1/nonsense", key, nil, nil, 404, "not-found not-run"},
		"unknown service":        {"POST", "/v1/services/nonsense/x", key, body("x"), nil, 404, "not-found not-run"},
		"relative path":          {"GET", "/v1/services/press/boxes/%2e%2e/labels", key, nil, nil, 400, "bad-request not-run"},
		"endless body":           {"POST", chat, key, &endless{}, nil, 413, "body-too-large not-run"},
		"bad ticket":             {"POST", chat, key, body("x"), map[string]string{"X-Class": "commission", "X-Ticket": "nonsense"}, 400, "ticket-invalid unknown"},
		"bad key, with a ticket": {"POST", chat, "nonsense", body("x"), map[string]string{"X-Ticket": "nonsense"}, 401, "bad-key unknown"},
		"too many":               {"POST", "/v1/tickets?count=1000", key, nil, nil, 400, "bad-request not-run"},
	} {
		t.Run(name, func(t *testing.T) {
			status, got := do(t, c.method, c.path, c.key, c.body, c.header)
			if status != c.status || codeOf(got) != c.code {
				t.Errorf("got %d %s, want %d %s", status, got, c.status, c.code)
			}
		})
	}
}

func TestSlowSenderIsGivenUp(t *testing.T) {
	reader, writer := io.Pipe()
	defer writer.Close()
	go func() { _, _ = writer.Write([]byte(`{"model": `)) }()
	status, got := do(t, "POST", "/v1/chat/completions", load.KeyOf(account()), reader, nil)
	if status != http.StatusRequestTimeout || codeOf(got) != "body-timeout not-run" {
		t.Errorf("got %d %s", status, got)
	}
}

// TestGigabyteBodyCostsNoMemory claims a huge body and sends some of it.
func TestGigabyteBodyCostsNoMemory(t *testing.T) {
	const senders, most = 50, 256 << 20
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range senders {
		conn, err := net.Dial("tcp", fleet.Hosts[0].Callers())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 1073741824\r\n\r\n{", load.KeyOf(account()))
	}
	time.Sleep(200 * time.Millisecond)
	runtime.ReadMemStats(&after)
	if grown := int64(after.HeapAlloc) - int64(before.HeapAlloc); grown > most {
		t.Errorf("%d claimed gigabytes took %d bytes", senders, grown)
	}
}

func TestModelsOfTheAccount(t *testing.T) {
	status, got := do(t, "GET", "/v1/models", load.KeyOf(account()), nil, nil)
	if status != 200 || !strings.Contains(got, `"label"`) {
		t.Errorf("got %d %s", status, got)
	}
}

// TestMiddlewaresOfRestAreOff pins what go-zero would do by default: refuse a
// body above a megabyte, cut an answer after three seconds, and open a circuit
// breaker after failures.
func TestMiddlewaresOfRestAreOff(t *testing.T) {
	key := load.KeyOf(account())
	for range 200 {
		do(t, "POST", "/v1/chat/completions", key, strings.NewReader("{"), nil)
	}
	large := `{"model": "label", "max_tokens": 2, "user": "` + strings.Repeat("x", 2<<20) + `", "messages": [{"content": "x"}]}`
	if status, got := do(t, "POST", "/v1/chat/completions", key, strings.NewReader(large), nil); status != 200 {
		t.Errorf("a body of two megabytes: %d %.200s", status, got)
	}
	long := bytes.NewReader(load.ChatBody("label", "long", 350, false))
	if status, got := do(t, "POST", "/v1/chat/completions", key, long, nil); status != 200 {
		t.Errorf("an answer that takes 3.5 s: %d %.200s", status, got)
	}
}

// TestCallerLeaves checks that the engine stops generating when the caller has
// gone.
func TestCallerLeaves(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+fleet.Hosts[0].Callers()+"/v1/chat/completions",
		bytes.NewReader(load.ChatBody("label", "a caller who leaves", 100000, true)))
	request.Header.Set("Authorization", "Bearer "+load.KeyOf(account()))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	_, _ = io.ReadFull(response.Body, make([]byte, 100))
	cancel()
	tokens := func() int {
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
		before := tokens()
		time.Sleep(200 * time.Millisecond)
		if tokens() == before && before > 0 {
			return
		}
	}
	t.Errorf("the engine goes on after %d tokens", tokens())
}

// TestDecisionsNameTheLists checks that an auditor can hold decisions against
// the lists in force.
func TestDecisionsNameTheLists(t *testing.T) {
	do(t, "POST", "/v1/chat/completions", load.KeyOf(account()), body("audited"), nil)
	response, err := http.Get("http://" + fleet.Hosts[0].Operators() + "/v1/decisions?most=1")
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

func TestMetricsByTierClassAndAccount(t *testing.T) {
	do(t, "POST", "/v1/chat/completions", load.KeyOf(account()), body("measured"), nil)
	response, err := http.Get("http://" + fleet.Hosts[0].Operators() + "/metrics")
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
			t.Errorf("no %s", want)
		}
	}
}

// TestAnswersGoToTheirCallers sends many requests at once and checks that each
// caller gets its own whole answer, streamed and not.
func TestAnswersGoToTheirCallers(t *testing.T) {
	var wait sync.WaitGroup
	for i := range 60 {
		wait.Go(func() {
			prompt := fmt.Sprintf("caller %d", i)
			status, got := do(t, "POST", "/v1/chat/completions", load.KeyOf(account()), body(prompt), map[string]string{"X-Class": "lookup"})
			want := ""
			for n := range 5 {
				want += standin.TokenText(standin.ContentHash(prompt), n)
			}
			if status != 200 || !strings.Contains(got, want) {
				t.Errorf("caller %d: %d %s, want %s", i, status, got, want)
			}
		})
	}
	wait.Wait()
}

// TestPlainService calls a service's idempotent and other calls.
func TestPlainService(t *testing.T) {
	key := load.KeyOf(account())
	if status, got := do(t, "GET", "/v1/services/press/boxes/7?full=1", key, nil, nil); status != 200 || !strings.Contains(got, "/boxes/7") {
		t.Errorf("an idempotent call: %d %s", status, got)
	}
	status, got := do(t, "POST", "/v1/services/press/labels", key, strings.NewReader("box 7"), nil)
	var r refused
	_ = json.Unmarshal([]byte(got), &r)
	if status != http.StatusPreconditionRequired || r.Error.Ticket == "" {
		t.Fatalf("without a ticket: %d %s", status, got)
	}
	for range 3 {
		status, got = do(t, "POST", "/v1/services/press/labels", key, strings.NewReader("box 7"), map[string]string{"X-Ticket": r.Error.Ticket})
		if status != 200 {
			t.Errorf("with the ticket: %d %s", status, got)
		}
	}
	if n := fleet.Service.Ledger().CountRuns(standin.ContentHash("box 7")); n != 1 {
		t.Errorf("printed %d times", n)
	}
}
