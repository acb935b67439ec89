//go:build review

package lab

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"time"
)

const (
	// longBodyBytes is the length of a long request, within maxBodyBytes of the configuration.
	longBodyBytes = 4_000_000
	// earlyBytes is how much of a body a runner reads before it begins to answer.
	earlyBytes = 64 << 10
	// answerParts is the number of parts of an answer, or of its events, and partGap the time
	// between two.
	answerParts = 20
	partGap     = 50 * time.Millisecond
	// crashAfter is how long after it has begun a request a runner is killed.
	crashAfter = 400 * time.Millisecond
	// lapseTime is how long after its end the entry of a runner is removed: three heartbeats.
	lapseTime = 3600 * time.Millisecond
	// resetRounds is the number of requests on each route.
	resetRounds = 3
	// runnersPerService is so large that the runners killed in a run are a quarter of them.
	runnersPerService = 4 * resetRounds
)

// answerPart returns a part of the answer to a request.
func answerPart(stream bool, id string, i int) string {
	if stream {
		return fmt.Sprintf("id: %d\ndata: part %d of the answer to %s\n\n", i, i, id)
	}
	return fmt.Sprintf("part %d of the answer to %s\n", i, id)
}

// wholeAnswer returns the whole answer to a request.
func wholeAnswer(stream bool, id string) string {
	var out strings.Builder
	for i := range answerParts {
		out.WriteString(answerPart(stream, id, i+1))
	}
	return out.String()
}

// runRunner is a runner in a process of its own. It answers a long request before it has read it, with
// an answer that ends with its connection, and reads on later. It prints its address and then the
// requests that it begins, and returns only if it can't go on.
func runRunner(id string) error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	fmt.Println(listener.Addr())
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		go serveEarly(conn, id)
	}
}

func serveEarly(conn net.Conn, runnerID string) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReaderSize(conn, 1<<10))
	if err != nil {
		return
	}
	id := request.Header.Get("Request-Id")
	if request.Header.Get("Expect-Instance") != runnerID {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", runnerID)
		return
	}
	if _, err := io.CopyN(io.Discard, request.Body, earlyBytes); err != nil {
		return
	}
	fmt.Println(id)
	stream := strings.HasPrefix(request.URL.Path, streamPrefix)
	contentType := "text/plain"
	if stream {
		contentType = "text/event-stream"
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: seal\r\nContent-Type: %s\r\nConnection: close\r\n\r\n", id, contentType)
	for i := range answerParts {
		if _, err := io.WriteString(conn, answerPart(stream, id, i+1)); err != nil {
			return
		}
		time.Sleep(partGap)
	}
	_, _ = io.Copy(io.Discard, request.Body) // an error means that the host has left
}

// runnerProcess is a runner in a process of its own.
type runnerProcess struct {
	id      string
	command *exec.Cmd
}

// crashes is the state of the case.
type crashes struct {
	*world
	mu      sync.Mutex
	runners []*runnerProcess
	// begun is sent the runner that has begun a request.
	begun chan *runnerProcess
}

// playReset sends long requests to runners that answer early, of which each is killed in the middle of
// its answer.
func playReset(w *world) (bool, error) {
	c := &crashes{world: w, begun: make(chan *runnerProcess, 16)}
	w.onClose(c.stop)
	w.store.put("op/config", configuration(7))
	for i := range runnersPerService {
		for _, service := range []string{engineService, plainService} {
			if err := c.startRunner(fmt.Sprintf("i-%s-%d", service, i), service); err != nil {
				return false, err
			}
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
	time.Sleep(4 * time.Second) // the machine is in touch
	broken := 0
	for i := range resetRounds {
		for _, stream := range []bool{false, true} {
			ok, err := c.send(h, fmt.Sprintf("request-%d-%v", i, stream), stream)
			if err != nil {
				return false, err
			}
			if !ok {
				broken++
			}
		}
	}
	w.logf("%d answers of %d looked complete and were not", broken, 2*resetRounds)
	return broken > 0, nil
}

// startRunner starts a runner and lists it.
func (c *crashes) startRunner(id, service string) error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	r := &runnerProcess{id: id, command: exec.Command(program, "runner", id)}
	output, err := r.command.StdoutPipe()
	if err != nil {
		return err
	}
	if err := r.command.Start(); err != nil {
		return err
	}
	c.runners = append(c.runners, r)
	lines := bufio.NewScanner(output)
	if !lines.Scan() {
		return errors.New("a runner did not start")
	}
	c.store.put("servers/"+id, map[string]any{
		"service": service, "address": lines.Text(), "zone": "zone-a", "version": "v1", "slots": 64,
		"state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
	go func() {
		for lines.Scan() {
			c.logf("runner %s begins %s", id, lines.Text())
			c.begun <- r
		}
	}()
	return nil
}

// stop ends all runners.
func (c *crashes) stop() {
	for _, r := range c.runners {
		c.kill(r)
	}
}

// kill ends a runner.
func (c *crashes) kill(r *runnerProcess) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.command.ProcessState == nil {
		_ = r.command.Process.Kill() // it may have ended
		_ = r.command.Wait()         // reports the kill
	}
}

// send sends a long request, and kills its runner meanwhile. It reports whether the answer was whole, or
// did not look so.
func (c *crashes) send(h *host, id string, stream bool) (bool, error) {
	conn, err := net.DialTimeout("tcp4", h.front, time.Second)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second)) // the read shows a closed connection
	prefix, extra := unsafePrefix, ""
	if stream {
		prefix, extra = streamPrefix, "Model: m\r\nToken-Count: 1460,80\r\nPrompt-Prefix: "+ordinaryPrefix+"\r\n"
	}
	c.logf("%s is sent: POST with a body of %d bytes", id, longBodyBytes)
	go func() {
		_, _ = fmt.Fprintf(conn, "POST %s%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 4000\r\nAuthorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n", prefix, id, hostName, id, apiKey, extra, longBodyBytes)
		_, _ = conn.Write(bytes.Repeat([]byte("x"), longBodyBytes)) // an error shows in the answer
	}()
	if c.trouble {
		go c.crash()
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		c.logf("%s: no answer (%v)", id, err)
		return true, nil
	}
	body, err := io.ReadAll(response.Body)
	whole := string(body) == wholeAnswer(stream, id)
	c.logf("%s: status %d, seal %q, %d bytes of %d, complete by the protocol: %v, whole: %v", id, response.StatusCode,
		response.Header.Get("Response-Seal"), len(body), len(wholeAnswer(stream, id)), err == nil, whole)
	if !c.trouble {
		<-c.begun
	}
	success := response.StatusCode >= 200 && response.StatusCode <= 299
	if !c.trouble && !(success && whole) {
		return false, nil
	}
	return !success || err != nil || whole, nil
}

// crash kills the runner that begins the next request, and removes its entry when it has lapsed.
func (c *crashes) crash() {
	r := <-c.begun
	time.Sleep(crashAfter)
	c.kill(r)
	c.logf("runner %s was killed", r.id)
	time.AfterFunc(lapseTime, func() { c.store.put("servers/"+r.id, nil) })
}
