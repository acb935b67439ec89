//go:build review

package lab

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// playOptions sends a request for the target * that no route allows, as callers that nobody controls
// may, between ordinary requests on the same connection.
func playOptions(w *world) (bool, error) {
	w.store.put("op/config", configuration(7))
	ran := make(chan string, 16)
	answer := func(conn net.Conn, r *http.Request, _ []byte) {
		id := r.Header.Get("Request-Id")
		ran <- id
		body := strings.Repeat("b", 800)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: seal\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	}
	for _, service := range []string{engineService, plainService} {
		if _, err := w.addRunner("i-"+service, service, "zone-a", answer); err != nil {
			return false, err
		}
	}
	p, err := newPorts("127.0.0.1")
	if err != nil {
		return false, err
	}
	h, err := w.addHost(hostOptions{name: "front-1", zone: "zone-a", ip: "127.0.0.1", memoryMB: hostMemoryMB, maxFds: hostMaxFds}, p)
	if err != nil {
		return false, err
	}
	conn, err := net.DialTimeout("tcp4", h.front, time.Second)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second)) // the read shows a closed connection
	reader := bufio.NewReader(conn)
	targets := []string{"GET " + safePrefix + "1", "GET " + safePrefix + "2"}
	if w.trouble {
		targets = []string{"GET " + safePrefix + "1", "OPTIONS *", "GET " + safePrefix + "2"}
	}
	unsealed := 0
	for i, target := range targets {
		id := fmt.Sprintf("request-%d", i)
		_, _ = fmt.Fprintf(conn, "%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 4000\r\nAuthorization: Bearer %s\r\n\r\n", target, hostName, id, apiKey)
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return false, err
		}
		body, err := io.ReadAll(response.Body)
		if err != nil {
			return false, err
		}
		seal, begun := response.Header.Get("Response-Seal"), "none"
		select {
		case begun = <-ran:
		default:
		}
		w.logf("%s (%s): status %d, seal %q, %d bytes; run by a runner: %s", target, id, response.StatusCode, seal, len(body), begun)
		if response.StatusCode >= 200 && response.StatusCode <= 299 && seal == "" {
			unsealed++
		}
	}
	w.logf("successes without a seal: %d", unsealed)
	return unsealed > 0, nil
}
