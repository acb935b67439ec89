//go:build review

package lab

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// apiKey is the key of the only tenant.
const apiKey = "key-of-the-tenant"

// answer is what a client got.
type answer struct {
	id, host       string
	sentAt         time.Time
	status         int
	body           string
	err            error
	seal           string
	retryAfter     string
	answeredWithin time.Duration
}

var lastID atomic.Uint64

// newID returns the ID of another request.
func newID() string { return fmt.Sprintf("%016x", 0x5eed000000000000+lastID.Add(1)) }

// send sends one request over a connection of its own and waits for the whole answer.
func send(rec *record, h *host, path, body string, deadline time.Duration) answer {
	a := answer{id: newID(), host: h.name, sentAt: time.Now()}
	rec.add("client sends %s %s to %s", a.id, path, h.name)
	a.err = a.exchange(h, path, body, deadline)
	a.answeredWithin = time.Since(a.sentAt)
	if a.err != nil {
		rec.add("client gets no answer to %s: %v", a.id, a.err)
	} else {
		rec.add("client gets %d to %s", a.status, a.id)
	}
	return a
}

func (a *answer) exchange(h *host, path, body string, deadline time.Duration) error {
	conn, err := net.DialTimeout("tcp4", h.callers(), time.Second)
	if err != nil {
		return err
	}
	defer conn.Close()
	return a.exchangeOver(conn, bufio.NewReader(conn), path, body, deadline)
}

// exchangeOver sends the request over a connection and waits for the whole answer.
func (a *answer) exchangeOver(conn net.Conn, reader *bufio.Reader, path, body string, deadline time.Duration) error {
	_ = conn.SetDeadline(a.sentAt.Add(deadline))
	if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		path, a.id, deadline.Milliseconds(), apiKey, len(body), body); err != nil {
		return err
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err
	}
	raw, err := io.ReadAll(response.Body)
	a.status, a.body, a.seal, a.retryAfter = response.StatusCode, string(raw), response.Header.Get("Response-Seal"), response.Header.Get("Retry-After")
	return err
}

// keepSending sends requests one after the other over a kept connection, which it opens anew where it ends, until
// stop is closed. It returns all answers.
func keepSending(rec *record, h *host, path string, deadline time.Duration, stop <-chan struct{}) []answer {
	var all []answer
	var conn net.Conn
	var reader *bufio.Reader
	for {
		select {
		case <-stop:
			if conn != nil {
				_ = conn.Close()
			}
			return all
		default:
		}
		if conn == nil {
			opened, err := net.DialTimeout("tcp4", h.callers(), time.Second)
			if err != nil {
				time.Sleep(100 * time.Millisecond)
				continue
			}
			conn, reader = opened, bufio.NewReader(opened)
		}
		a := answer{id: newID(), host: h.name, sentAt: time.Now()}
		rec.add("client sends %s %s to %s", a.id, path, h.name)
		a.err = a.exchangeOver(conn, reader, path, "", deadline)
		a.answeredWithin = time.Since(a.sentAt)
		rec.add("client gets %d to %s, error %v", a.status, a.id, a.err)
		all = append(all, a)
		if a.err != nil {
			_ = conn.Close()
			conn = nil
		}
	}
}

// load sends requests at a rate, to the hosts in turn, until stop is closed. It returns all answers.
func load(rec *record, hosts []*host, path string, perSecond float64, deadline time.Duration, stop <-chan struct{}) []answer {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var all []answer
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ticker.C:
		case <-stop:
			wg.Wait()
			return all
		}
		wg.Go(func() {
			a := send(rec, hosts[i%len(hosts)], path, "order", deadline)
			mu.Lock()
			all = append(all, a)
			mu.Unlock()
		})
	}
}
