package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// kind is a kind of request.
type kind string

// Kinds of request. Their names begin their paths.
const (
	status kind = "status" // idempotent
	place  kind = "place"  // at most once
	letter kind = "letter" // a stream that may be resumed
	draft  kind = "draft"  // a stream that may not
)

var kinds = []kind{status, place, letter, draft}

// mix is how often callers send each kind.
var mix = []kind{status, place, place, place, letter, draft}

// mayRepeat says whether a request may run more than once.
func (k kind) mayRepeat() bool { return k == status || k == letter }

// record is one request as its caller saw it.
type record struct {
	id, key, path string
	kind          kind
	host, start   int
	began, ended  time.Time
	// status is zero where no answer came.
	status int
	sealed bool
	body   string
	// whole says that the answer's end came.
	whole bool
	// left is when the caller broke off by itself.
	left time.Time
	err  string
	// stopped is when the host had got SIGTERM by the end, or zero.
	stopped time.Time
}

// callers send requests and keep what they see.
type callers struct {
	w       *world
	mu      sync.Mutex
	records []*record
	serial  int
}

func (c *callers) newRecord(k kind, key string, events int) *record {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serial++
	r := &record{id: fmt.Sprintf("%s-%d", k, c.serial), kind: k, key: key, path: fmt.Sprintf("/%s/%d", k, events)}
	c.records = append(c.records, r)
	return r
}

// link is one caller's connection to a host, kept until the host closes it.
type link struct {
	conn  net.Conn
	read  *bufio.Reader
	host  int
	start int
}

// patience is how long a caller waits.
const patience = 3 * time.Second

// loop sends one request after the other until ctx ends.
func (c *callers) loop(ctx context.Context, random *rand.Rand) {
	var l *link
	for ctx.Err() == nil {
		if l == nil {
			l = c.dial(random)
		}
		if l == nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		k := mix[random.IntN(len(mix))]
		events := 1
		if k == letter || k == draft {
			events = 3 + random.IntN(40)
		}
		r := c.newRecord(k, c.w.pickKey(random), events)
		var leave time.Duration
		if random.IntN(12) == 0 {
			leave = time.Duration(1+random.IntN(200)) * time.Millisecond
		}
		if !c.send(l, r, leave) {
			_ = l.conn.Close()
			l = nil
		}
		time.Sleep(time.Duration(random.IntN(10)) * time.Millisecond)
	}
	if l != nil {
		_ = l.conn.Close()
	}
}

// dial connects to a host that the balancer knows as ready.
func (c *callers) dial(random *rand.Rand) *link {
	i := random.IntN(len(c.w.hosts))
	ready, start := c.w.hosts[i].state()
	if !ready {
		return nil
	}
	return c.connect(i, start)
}

func (c *callers) connect(i, start int) *link {
	conn, err := net.DialTimeout("tcp4", fmt.Sprintf("%s:%d", c.w.hosts[i].ip, callerPort), time.Second)
	if err != nil {
		return nil
	}
	return &link{conn: conn, read: bufio.NewReader(conn), host: i, start: start}
}

// send sends one request and reads its answer. It returns false where the
// connection can't be used again. Leave is after how long the caller breaks off,
// or zero.
func (c *callers) send(l *link, r *record, leave time.Duration) bool {
	r.host, r.start, r.began = l.host, l.start, time.Now()
	defer func() {
		r.ended, r.stopped = time.Now(), c.w.hosts[l.host].stoppedAt()
	}()
	_ = l.conn.SetDeadline(time.Now().Add(patience + time.Second))
	if leave > 0 {
		_ = l.conn.SetDeadline(time.Now().Add(leave))
	}
	method, body := http.MethodGet, ""
	if r.kind == place {
		method, body = http.MethodPost, bodyOf(r.id)
	}
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: soak\r\nRequest-Id: %s\r\nAuthorization: Bearer %s\r\nDeadline-Ms: %d\r\nTenant: forged\r\nContent-Length: %d\r\n\r\n%s",
		method, r.path, r.id, r.key, patience.Milliseconds(), len(body), body)
	if _, err := io.WriteString(l.conn, text); err != nil {
		return c.failed(r, leave, err)
	}
	answer, err := http.ReadResponse(l.read, &http.Request{Method: method})
	if err != nil {
		return c.failed(r, leave, err)
	}
	r.status, r.sealed = answer.StatusCode, answer.Header.Get("Response-Seal") != ""
	raw, err := io.ReadAll(answer.Body)
	r.body = string(raw)
	if err != nil {
		return c.failed(r, leave, err)
	}
	r.whole = true
	return !answer.Close
}

// failed notes why an answer did not come whole. A caller that breaks off does so
// by closing its connection.
func (c *callers) failed(r *record, leave time.Duration, err error) bool {
	r.err = err.Error()
	var timeout net.Error
	if leave > 0 && errors.As(err, &timeout) && timeout.Timeout() {
		r.left = time.Now()
	}
	return false
}

// bodyOf returns the body of a request that has one.
func bodyOf(id string) string { return "order of " + id }

// wantOf returns the whole answer to a request.
func wantOf(r *record) string {
	if r.kind == status || r.kind == place {
		return answerOf(r.id)
	}
	n, _ := strconv.Atoi(r.path[strings.LastIndexByte(r.path, '/')+1:])
	var b strings.Builder
	for i := 1; i <= n; i++ {
		b.WriteString(eventOf(r.id, i))
	}
	return b.String()
}
