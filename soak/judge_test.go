package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// settleTime is how long after trouble a host may still lag behind.
const settleTime = 4 * time.Second

// calm says whether nothing of a host, of the store or of the machine was in
// trouble from settleTime before a span to its end.
func (w *world) calm(i int, from, to time.Time) bool {
	for _, t := range w.trouble {
		own := t.what == hostTrouble(i) || t.what == storeTrouble || t.what == machineTrouble
		if own && t.from.Before(to) && t.to.After(from.Add(-settleTime)) {
			return false
		}
	}
	return true
}

// unharmed says whether nothing unplanned happened around a span, anywhere but at
// other hosts.
func (w *world) unharmed(i int, from, to time.Time) bool {
	for _, t := range w.trouble {
		if t.planned || strings.HasPrefix(t.what, "host ") && t.what != hostTrouble(i) {
			continue
		}
		if t.from.Before(to) && t.to.After(from.Add(-settleTime)) {
			return false
		}
	}
	return true
}

// judge holds what callers and upstreams saw against the promises. It returns
// what was broken.
func (w *world) judge() []string {
	runs := map[string][]*run{}
	for _, r := range w.ledger.runs {
		runs[r.id] = append(runs[r.id], r)
	}
	var out []string
	known := map[string]*record{}
	for _, r := range w.callers.records {
		known[r.id] = r
		for _, broken := range w.judgeRecord(r, runs[r.id]) {
			out = append(out, fmt.Sprintf("%6.2f %s at host %d: %s", r.began.Sub(w.began).Seconds(), r.id, r.host, broken))
		}
	}
	for _, r := range w.ledger.runs {
		if broken := w.judgeRun(r, known[r.id]); broken != "" {
			out = append(out, fmt.Sprintf("%6.2f %s at %s: %s", r.at.Sub(w.began).Seconds(), r.id, r.upstream, broken))
		}
	}
	for _, h := range w.hosts {
		out = append(out, h.crashed...)
	}
	out = append(out, w.judgeRegress(runs)...)
	return append(out, w.judgeBudget(runs)...)
}

// judgeRecord checks one request as its caller saw it.
func (w *world) judgeRecord(r *record, runs []*run) []string {
	var out []string
	if !r.kind.mayRepeat() && len(runs) > 1 {
		out = append(out, fmt.Sprintf("ran %d times", len(runs)))
	}
	switch r.status {
	case 408, 421, 429, 503:
		if !r.kind.mayRepeat() && len(runs) > 0 {
			out = append(out, fmt.Sprintf("refused with %d and ran", r.status))
		}
	case 200:
		if r.whole && r.body != wantOf(r) {
			out = append(out, fmt.Sprintf("got %d bytes that are not its answer", len(r.body)))
		}
		if !r.whole && !strings.HasPrefix(wantOf(r), r.body) {
			out = append(out, "got a part that is not of its answer")
		}
		if !r.sealed {
			out = append(out, "got a success without a seal")
		}
	case 401:
		life := w.keys[r.key]
		if r.began.After(life.added.Add(applyTime)) && (life.revoked.IsZero() || r.ended.Before(life.revoked)) && w.calm(r.host, life.added, r.ended) {
			out = append(out, "refused for a key that is in force")
		}
	case 404:
		out = append(out, "its route was not found")
	}
	return append(out, w.judgeLoss(r, runs)...)
}

// judgeLoss checks that an answer came, or its end, where nothing unplanned
// happened.
func (w *world) judgeLoss(r *record, runs []*run) []string {
	if r.whole || !r.left.IsZero() || len(runs) == 0 || !w.unharmed(r.host, r.began, r.ended) {
		return nil
	}
	if r.stopped.IsZero() {
		return []string{"its connection ended without an answer: " + r.err}
	}
	if r.began.After(r.stopped.Add(3 * time.Second)) {
		return nil
	}
	return []string{"cut off by a planned stop: " + r.err}
}

// judgeRun checks one run as its upstream saw it.
func (w *world) judgeRun(r *run, of *record) string {
	if of == nil {
		return "nobody asked for it"
	}
	life := w.keys[of.key]
	leaving, left := w.leaving[r.upstream]
	switch {
	case r.tenant != "acme":
		return "ran for account " + r.tenant
	case r.leaked:
		return "the caller's key was passed on"
	case r.path != of.path || of.kind == place && r.body != bodyOf(r.id):
		return "path or body changed"
	case left && r.at.After(leaving.Add(applyTime)) && w.calm(of.host, leaving, r.at):
		return fmt.Sprintf("ran %v after the upstream began to leave", r.at.Sub(leaving))
	case !life.revoked.IsZero() && of.began.After(life.revoked.Add(applyTime)) && w.calm(of.host, life.revoked, r.at):
		return fmt.Sprintf("ran with a key that was revoked %v before", of.began.Sub(life.revoked))
	case !of.left.IsZero() && r.at.After(of.left.Add(500*time.Millisecond)) && w.unharmed(of.host, of.began, r.at):
		return fmt.Sprintf("began %v after its caller had left", r.at.Sub(of.left))
	case !of.left.IsZero() && r.ended.After(of.left.Add(time.Second)) && w.unharmed(of.host, of.began, r.ended):
		return fmt.Sprintf("worked on %v after its caller had left", r.ended.Sub(of.left))
	}
	return ""
}

// judgeRegress checks that no process goes back to an older list: once it refused
// a key, it takes it no more.
func (w *world) judgeRegress(runs map[string][]*run) []string {
	type process struct {
		host, start int
		key         string
	}
	const slack = 250 * time.Millisecond
	refused := map[process]time.Time{}
	for _, r := range w.callers.records {
		p := process{r.host, r.start, r.key}
		life := w.keys[r.key]
		knows := !life.revoked.IsZero() && r.began.After(life.revoked) && w.calm(r.host, life.added, life.added.Add(applyTime))
		if r.status != 401 || !knows {
			continue
		}
		if at, ok := refused[p]; !ok || r.ended.Before(at) {
			refused[p] = r.ended
		}
	}
	var out []string
	for _, r := range w.callers.records {
		at, ok := refused[process{r.host, r.start, r.key}]
		if ok && r.began.After(at.Add(slack)) && len(runs[r.id]) > 0 {
			out = append(out, fmt.Sprintf("%s ran at host %d, which had refused its key %v before", r.id, r.host, r.began.Sub(at)))
		}
	}
	return out
}

// judgeBudget checks that repeats stay within what the operators allow.
func (w *world) judgeBudget(runs map[string][]*run) []string {
	const window = 10 * time.Second
	var first, repeats []time.Time
	for _, list := range runs {
		slices.SortFunc(list, func(a, b *run) int { return a.at.Compare(b.at) })
		for i, r := range list {
			if i == 0 {
				first = append(first, r.at)
			} else {
				repeats = append(repeats, r.at)
			}
		}
	}
	for _, at := range repeats {
		inside := func(list []time.Time) (n int) {
			for _, x := range list {
				if !x.After(at) && x.After(at.Add(-window)) {
					n++
				}
			}
			return n
		}
		if n, m := inside(repeats), inside(first); float64(n) > retryRatio*float64(m)+retryExtra {
			return []string{fmt.Sprintf("%d repeats of %d requests within %v", n, m, window)}
		}
	}
	return nil
}
