package soak

import (
	"strings"
	"testing"
	"time"
)

// ordinary returns the world of one request to one host that went well.
func ordinary(k kind) (*world, *record, *run) {
	w := &world{
		ledger: &ledger{}, keys: map[string]*keyLife{"key-1": {}}, leaving: map[string]time.Time{}, began: time.Now(),
		hosts: []*host{{}},
	}
	at := w.began.Add(20 * time.Second)
	r := &record{id: "x-1", kind: k, key: "key-1", path: "/" + string(k) + "/3", start: 1, began: at, ended: at.Add(time.Second), status: 200, sealed: true, whole: true}
	r.body = wantOf(r)
	it := &run{id: r.id, upstream: "u1", at: at.Add(time.Millisecond), ended: r.ended, tenant: "acme", path: r.path}
	if k == place {
		it.body = bodyOf(r.id)
	}
	w.ledger.runs = []*run{it}
	w.callers = &callers{w: w, records: []*record{r}}
	return w, r, it
}

// Each promise is checked: one that is broken is told, and an ordinary request
// breaks none.
func TestJudgeTellsWhatIsBroken(t *testing.T) {
	for name, c := range map[string]struct {
		kind  kind
		spoil func(w *world, r *record, it *run)
		want  string
	}{
		"nothing": {place, func(*world, *record, *run) {}, ""},
		"twice": {place, func(w *world, _ *record, it *run) {
			again := *it
			w.ledger.runs = append(w.ledger.runs, &again)
		}, "ran 2 times"},
		"again, as it may": {letter, func(w *world, _ *record, it *run) {
			again := *it
			w.ledger.runs = append(w.ledger.runs, &again)
		}, ""},
		"refused and ran": {place, func(_ *world, r *record, _ *run) { r.status = 503 }, "refused with 503 and ran"},
		"half an answer":  {letter, func(_ *world, r *record, _ *run) { r.body = eventOf(r.id, 1) }, "not its answer"},
		"two answers":     {letter, func(_ *world, r *record, _ *run) { r.body = eventOf("other", 1); r.whole = false }, "not of its answer"},
		"no seal":         {status, func(_ *world, r *record, _ *run) { r.sealed = false }, "without a seal"},
		"good key":        {status, func(w *world, r *record, _ *run) { r.status = 401; w.ledger.runs = nil }, "in force"},
		"route":           {status, func(w *world, r *record, _ *run) { r.status = 404; w.ledger.runs = nil }, "not found"},
		"stranger":        {status, func(w *world, _ *record, _ *run) { w.callers.records = nil }, "nobody asked"},
		"account":         {status, func(_ *world, _ *record, it *run) { it.tenant = "forged" }, "for account forged"},
		"key passed":      {status, func(_ *world, _ *record, it *run) { it.leaked = true }, "passed on"},
		"body":            {place, func(_ *world, _ *record, it *run) { it.body = "" }, "changed"},
		"leaving": {status, func(w *world, _ *record, it *run) {
			w.leaving["u1"] = it.at.Add(-3 * time.Second)
		}, "began to leave"},
		"leaving, at a cut host": {status, func(w *world, _ *record, it *run) {
			w.leaving["u1"] = it.at.Add(-3 * time.Second)
			w.trouble = []trouble{{what: hostTrouble(0), from: it.at.Add(-2 * time.Second), to: it.at}}
		}, ""},
		"revoked": {status, func(w *world, r *record, _ *run) {
			w.keys["key-1"].revoked = r.began.Add(-3 * time.Second)
		}, "revoked"},
		"list goes back": {status, func(w *world, r *record, _ *run) {
			w.keys["key-1"].revoked = r.began.Add(-time.Second)
			w.callers.records = append(w.callers.records, &record{
				id: "x-2", kind: status, key: "key-1", start: 1, status: 401, whole: true, began: r.began.Add(-900 * time.Millisecond), ended: r.began.Add(-800 * time.Millisecond),
			})
		}, "had refused its key"},
		"lost": {status, func(_ *world, r *record, _ *run) { r.status, r.whole = 0, false }, "without an answer"},
		"cut by a stop": {status, func(w *world, r *record, _ *run) {
			r.status, r.whole, r.stopped = 0, false, r.began.Add(time.Millisecond)
			w.trouble = []trouble{{what: hostTrouble(0), from: r.stopped, to: r.ended, planned: true}}
		}, "cut off by a planned stop"},
		"cut by a kill": {status, func(w *world, r *record, _ *run) {
			r.status, r.whole = 0, false
			w.trouble = []trouble{{what: hostTrouble(0), from: r.began, to: r.ended}}
		}, ""},
		"works on for nobody": {letter, func(_ *world, r *record, it *run) {
			r.status, r.whole, r.left = 0, false, r.began.Add(10*time.Millisecond)
			it.ended = r.left.Add(2 * time.Second)
		}, "worked on"},
		"process died": {status, func(w *world, _ *record, _ *run) { w.hosts[0].crashed = []string{"died"} }, "died"},
		"too many repeats": {status, func(w *world, _ *record, it *run) {
			for range retryExtra + 2 {
				again := *it
				w.ledger.runs = append(w.ledger.runs, &again)
			}
		}, "repeats"},
	} {
		w, r, it := ordinary(c.kind)
		c.spoil(w, r, it)
		got := strings.Join(w.judge(), "; ")
		if (c.want == "") != (got == "") || !strings.Contains(got, c.want) {
			t.Errorf("%s: told %q, want %q", name, got, c.want)
		}
	}
}
