//go:build review

package lab

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// What a case ends with.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the function of each case. It returns whether the rule was broken.
var cases = map[string]func(*world) (broken bool, err error){
	"crowd":   playCrowd,
	"options": playOptions,
	"reset":   playReset,
}

// world is what a case is played in.
type world struct {
	dir string
	// trouble is set if the disruption takes place.
	trouble bool
	store   *store
	hosts   []*host

	mu       sync.Mutex
	record   *bufio.Writer
	began    time.Time
	cleanups []func()
}

// play plays a case and writes its record.
func play(run func(*world) (bool, error), recordPath string, trouble bool) int {
	file, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer file.Close()
	w := &world{trouble: trouble, record: bufio.NewWriter(file), began: time.Now()}
	defer w.flush()
	w.logf("disruption: %v", trouble)
	go w.exitOnSignal()
	broken, err := w.play(run)
	switch {
	case err != nil:
		w.logf("not run: %v", err)
		return exitNotRun
	case broken:
		w.logf("result: the rule was broken")
		return exitBroken
	}
	w.logf("result: the rule held")
	return exitHeld
}

func (w *world) play(run func(*world) (bool, error)) (bool, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return false, err
	}
	w.dir = dir
	defer w.close()
	s, stop, err := newStore()
	if err != nil {
		return false, err
	}
	w.store = s
	w.onClose(stop)
	return run(w)
}

// exitOnSignal ends all processes and then this one when it is interrupted.
func (w *world) exitOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	<-signals
	w.logf("not run: interrupted")
	w.flush()
	w.close()
	os.Exit(exitNotRun)
}

// onClose adds what is done at the end, in reverse order.
func (w *world) onClose(f func()) { w.cleanups = append(w.cleanups, f) }

func (w *world) close() {
	for _, h := range w.hosts {
		h.kill()
	}
	for i := len(w.cleanups) - 1; i >= 0; i-- {
		w.cleanups[i]()
	}
	_ = os.RemoveAll(w.dir) // a temporary folder
}

// logf adds a line to the record.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := fmt.Sprintf("%8.3f "+format+"\n", append([]any{time.Since(w.began).Seconds()}, args...)...)
	_, _ = w.record.WriteString(line) // flush reports nothing either; the record is for readers
	fmt.Print(line)
}

func (w *world) flush() {
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.record.Flush()
}

// addRunner starts a runner and lists it in the store.
func (w *world) addRunner(id, service, zone string, answer func(net.Conn, *http.Request, []byte)) (*runner, error) {
	r, stop, err := newRunner(id, service, zone, answer)
	if err != nil {
		return nil, err
	}
	w.onClose(stop)
	w.store.put("servers/"+id, r.entry("ready"))
	return r, nil
}

// addHost starts a host.
func (w *world) addHost(o hostOptions, p ports, seeds ...string) (*host, error) {
	h, err := startHost(w.dir, o, p, w.store.address, seeds)
	if err != nil {
		return nil, err
	}
	w.hosts = append(w.hosts, h)
	return h, nil
}
