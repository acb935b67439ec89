package standin

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/zeromicro/go-zero/rest"

	"mulberrydyke/plan"
	"mulberrydyke/web"
)

// ServiceFaults selects the faults that a service simulates.
type ServiceFaults struct {
	// Delay is the duration of each call.
	Delay plan.Duration `json:"delay"`
	// Refuse rejects every call with status 503 before it runs.
	Refuse bool `json:"refuse"`
	// Draining makes the service say in its responses that it is draining. It goes on
	// running what it gets.
	Draining bool `json:"draining"`
	// DisconnectAfterRun runs the call, then closes the connection without a
	// response.
	DisconnectAfterRun bool `json:"cut-after-run"`
	// RawResponse is sent as it is after a run, in place of a response. Empty selects the response.
	RawResponse string `json:"raw-response"`
	// EarlyResponse is sent as it is at once, before the body is read. Then the connection is reset. The
	// ledger has no such calls. Empty selects none.
	EarlyResponse string `json:"early-response"`
}

// earlyResetDelay is the time between ServiceFaults.EarlyResponse and the reset.
const earlyResetDelay = 20 * time.Millisecond

// Service simulates a plain HTTP service, such as a label printer.
type Service struct {
	name   string
	ledger *Ledger
	mu     sync.Mutex
	faults ServiceFaults
}

// NewService returns a service that uses the given name in its ledger.
func NewService(name string) *Service { return &Service{name: name, ledger: &Ledger{}} }

// Ledger returns the service's ledger.
func (s *Service) Ledger() *Ledger { return s.ledger }

// SetFaults replaces the simulated faults.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *Service) currentFaults() ServiceFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Serve listens on address and returns the actual address and a function that
// stops the listener.
func (s *Service) Serve(address string) (string, func(), error) {
	return web.Serve(address, []rest.Route{
		{Method: http.MethodGet, Path: "/ledger", Handler: s.getLedger},
		{Method: http.MethodPut, Path: "/faults", Handler: s.putFaults},
	}, s.call, maxConnections)
}

// call accepts any method on any path and responds with the method, the path and
// the hash of the body.
func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	if early := s.currentFaults().EarlyResponse; early != "" {
		respondRaw(w, early, true)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	faults := s.currentFaults()
	setDraining(w, faults.Draining)
	if faults.Refuse {
		http.Error(w, "refused before running", http.StatusServiceUnavailable)
		return
	}
	id := r.Header.Get("X-Request-Id")
	entry := s.ledger.Begin(Entry{
		Upstream: s.name, RequestID: id, Ticket: r.Header.Get("X-Ticket"),
		StartedAt: time.Now(), ContentHash: ContentHash(string(body)),
	})
	time.Sleep(faults.Delay.Std())
	s.ledger.update(entry, func(e *Entry) { e.Completed = true })
	if faults.DisconnectAfterRun {
		abort()
	}
	if faults.RawResponse != "" {
		respondRaw(w, faults.RawResponse, false)
		return
	}
	w.Header().Set("X-Request-Id", id)
	web.WriteJSON(w, http.StatusOK, map[string]string{
		"method": r.Method, "path": r.URL.Path, "mark": ContentHash(string(body)), "by": s.name,
	})
}

// respondRaw sends a text as it is and closes the connection, in order or with a reset.
func respondRaw(w http.ResponseWriter, response string, reset bool) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		abort()
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, response)
	if tcp, ok := conn.(*net.TCPConn); ok && reset {
		time.Sleep(earlyResetDelay) // the response arrives
		_ = tcp.SetLinger(0)
	}
}

func (s *Service) getLedger(w http.ResponseWriter, _ *http.Request) {
	web.WriteJSON(w, http.StatusOK, s.ledger.Entries())
}

func (s *Service) putFaults(w http.ResponseWriter, r *http.Request) {
	var f ServiceFaults
	if web.ReadJSON(w, r, &f) {
		s.SetFaults(f)
	}
}
