package ticket

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulberrydyke/member"
)

// The model checker in this file connects the real Home, Backup and Successor
// of one ticket through a simulated network that delays, duplicates, reorders
// and loses messages. It explores every order of events until it finds no new
// states.

const (
	modelLifetime   = time.Minute
	modelMaxTickets = 8
)

var (
	homeID     = member.HostIncarnation{Host: "home", Incarnation: 1}
	backupID   = member.HostIncarnation{Host: "backup", Incarnation: 1}
	modelHash  = Hash{1}
	modelStart = time.Unix(1000, 0)
)

// flaw is a fault injected into the protocol, to show that the model checker
// detects it.
type flaw int

const (
	noFlaw flaw = iota
	// dispatchWithoutIntent lets the home dispatch without asking the backup.
	dispatchWithoutIntent
	// attestWithoutClosing lets the backup attest without closing the ticket.
	attestWithoutClosing
	// handOverWithoutSeal hands over the home's records without sealing it.
	handOverWithoutSeal
	// backupRunsRequest lets the backup run a request whose ticket it closed.
	backupRunsRequest
	// backupForgetsIntent lets the backup attest after it has lost an intent.
	backupForgetsIntent
)

// model is one state of the system under test.
type model struct {
	flaw      flaw
	now       time.Time
	home      *Home
	backup    *Backup
	successor *Successor
	token     Token
	// Messages in the network. They are never removed, so a message may arrive
	// late, more than once or not at all.
	intentSent, acknowledged, declined bool
	homeUp, backupUp                   bool
	homeHandedOver, backupHandedOver   bool
	started, awaitingIntent            bool
	runs                               int
	// reportedNotRun is set once any host has reported that the request did not
	// run.
	reportedNotRun bool
}

func newModel(f flaw) *model {
	m := &model{
		flaw: f, now: modelStart, homeUp: true, backupUp: true,
		home:      NewHome(homeID, []byte("key"), modelLifetime, modelMaxTickets),
		backup:    NewBackup(backupID, modelLifetime, modelMaxTickets),
		successor: NewSuccessor(modelLifetime),
	}
	token, err := m.home.Issue(m.now, "account", backupID)
	if err != nil {
		panic(err)
	}
	m.token = token
	return m
}

// action is one possible event. Its do function applies it to a model and
// returns false if the event can't happen in that state.
type action struct {
	name string
	do   func(*model) bool
}

// recordError sets reportedNotRun if err states that the request did not run.
func (m *model) recordError(err error) {
	if refused, ok := err.(*RefusedError); ok && refused.Outcome == NotRun {
		m.reportedNotRun = true
	}
}

// dispatch runs the request if its home allows it.
func (m *model) dispatch() {
	if m.home.MarkDispatched(m.now, m.token) {
		m.runs++
	}
	m.awaitingIntent = false
}

var actions = []action{
	{"caller uses the ticket at its home", func(m *model) bool {
		if !m.homeUp {
			return false
		}
		_, isNew, err := m.home.Use(m.now, m.token, "account", modelHash)
		m.recordError(err)
		m.started = m.started || isNew
		m.awaitingIntent = m.awaitingIntent || isNew
		m.intentSent = m.intentSent || isNew
		return true
	}},
	{"intent reaches the backup", func(m *model) bool {
		if !m.intentSent || !m.backupUp {
			return false
		}
		if m.backup.RecordIntent(m.now, m.token) {
			m.acknowledged = true
		} else {
			m.declined = true
		}
		return true
	}},
	{"acknowledgement reaches the home", func(m *model) bool {
		if !(m.acknowledged || m.flaw == dispatchWithoutIntent && m.awaitingIntent) || !m.homeUp || !m.awaitingIntent {
			return false
		}
		m.dispatch()
		return true
	}},
	{"negative reply reaches the home, or the reply times out", func(m *model) bool {
		if !m.homeUp || !m.awaitingIntent {
			return false
		}
		if m.home.Void(m.token, Voided) {
			m.reportedNotRun = true
		}
		m.awaitingIntent = false
		return true
	}},
	{"run ends", func(m *model) bool {
		if !m.homeUp || m.runs == 0 {
			return false
		}
		m.home.Finish(m.token, Ran, "")
		return true
	}},
	{"backup is asked for the outcome", func(m *model) bool {
		if !m.backupUp {
			return false
		}
		backup := m.backup
		if m.flaw == attestWithoutClosing {
			backup = &Backup{self: m.backup.self, lifetime: m.backup.lifetime, maxTickets: m.backup.maxTickets, entries: maps.Clone(m.backup.entries), maxForgotten: m.backup.maxForgotten}
		}
		if m.flaw == backupForgetsIntent {
			backup = NewBackup(backupID, modelLifetime, modelMaxTickets)
		}
		if backup.Attest(m.now, m.token) == NotRun {
			m.reportedNotRun = true
			if m.flaw == backupRunsRequest {
				m.runs++
				m.reportedNotRun = false
			}
		}
		return true
	}},
	{"home crashes", func(m *model) bool {
		m.homeUp = false
		return true
	}},
	{"backup crashes", func(m *model) bool {
		m.backupUp = false
		return true
	}},
	{"home stops as planned", func(m *model) bool {
		if !m.homeUp || m.homeHandedOver {
			return false
		}
		if m.flaw != handOverWithoutSeal {
			m.home.Seal()
			if m.home.InProgress() > 0 {
				return true
			}
		}
		handover := m.home.HandOver()
		handover.Last = true
		m.successor.Accept(m.now, handover)
		m.homeHandedOver = true
		return true
	}},
	{"backup stops as planned", func(m *model) bool {
		if !m.backupUp || m.backupHandedOver {
			return false
		}
		m.backup.Seal()
		handover := m.backup.HandOver()
		handover.Last = true
		m.successor.Accept(m.now, handover)
		m.backupHandedOver = true
		return true
	}},
	{"caller uses the ticket at the successor", func(m *model) bool {
		_, err := m.successor.Use(m.token, "account", modelHash)
		m.recordError(err)
		return true
	}},
	{"successor is asked for the outcome in place of the backup", func(m *model) bool {
		if m.successor.Attest(m.token) == NotRun {
			m.reportedNotRun = true
		}
		return true
	}},
	{"the ticket's lifetime passes", func(m *model) bool {
		if m.now.Sub(modelStart) > 3*modelLifetime {
			return false
		}
		m.now = m.now.Add(modelLifetime)
		if m.homeUp {
			m.home.Expire(m.now, 1<<20)
		}
		if m.backupUp {
			m.backup.Expire(m.now)
		}
		m.successor.Expire(m.now)
		return true
	}},
}

// fingerprint returns a string that is unique to the state.
func (m *model) fingerprint() string {
	phase, record := "unused", m.home.records[m.token]
	if record != nil {
		phase = fmt.Sprint(record.phase, record.Outcome, record.Reason)
	}
	entry, hasEntry := m.backup.entries[m.token]
	_, forgotIntent := m.backup.maxForgotten[homeID]
	handovers := []string{}
	for host, held := range m.successor.handovers {
		settled := held.records[m.token]
		handovers = append(handovers, fmt.Sprint(host, settled.Outcome, settled.Reason, held.intents[m.token], len(held.maxForgottenIntents), held.maxForgottenRecord, held.receivedAt))
	}
	slices.Sort(handovers)
	return fmt.Sprint(phase, "|", hasEntry, entry, forgotIntent, "|", m.home.maxForgotten, m.home.sealed, m.backup.sealed, m.homeUp, m.backupUp, m.homeHandedOver, m.backupHandedOver,
		m.intentSent, m.acknowledged, m.declined, m.started, m.awaitingIntent, m.runs, m.reportedNotRun, m.now.Unix(), strings.Join(handovers, ";"))
}

// violation describes the guarantee that the state violates, or returns "".
func (m *model) violation() string {
	switch {
	case m.runs > 1:
		return "the request ran twice"
	case m.runs > 0 && m.reportedNotRun:
		return "a host reported not-run, and the request ran"
	}
	return ""
}

// clone returns a copy that shares no mutable state with m. Answers are shared,
// since no action changes them.
func (m *model) clone() *model {
	cloned := *m
	home, backup, successor := *m.home, *m.backup, *m.successor
	home.records = map[Token]*Record{}
	for t, original := range m.home.records {
		record := *original
		home.records[t] = &record
	}
	home.issueMarks = slices.Clone(m.home.issueMarks)
	backup.entries = maps.Clone(m.backup.entries)
	backup.maxForgotten = maps.Clone(m.backup.maxForgotten)
	successor.handovers = map[member.HostIncarnation]*heldHandover{}
	for host, held := range m.successor.handovers {
		handover := *held
		handover.records, handover.intents, handover.maxForgottenIntents = maps.Clone(held.records), maps.Clone(held.intents), maps.Clone(held.maxForgottenIntents)
		successor.handovers[host] = &handover
	}
	cloned.home, cloned.backup, cloned.successor = &home, &backup, &successor
	return &cloned
}

// searchNode is a reached state and the indices of the actions that led to it.
type searchNode struct {
	model *model
	path  []int
}

// explore searches all orders of events breadth first, up to maxStates states.
// It returns the number of states and, if a guarantee is violated, the events
// that led there and the violation.
func explore(f flaw, maxStates int) (states int, violatingPath []string) {
	seen := map[string]bool{newModel(f).fingerprint(): true}
	queue := []searchNode{{model: newModel(f)}}
	for len(queue) > 0 && len(seen) < maxStates {
		node := queue[0]
		queue = queue[1:]
		for i, a := range actions {
			m := node.model.clone()
			if !a.do(m) {
				continue
			}
			next := append(slices.Clone(node.path), i)
			if v := m.violation(); v != "" {
				return len(seen), append(actionNames(next), v)
			}
			if fingerprint := m.fingerprint(); !seen[fingerprint] {
				seen[fingerprint] = true
				queue = append(queue, searchNode{m, next})
			}
		}
	}
	return len(seen), nil
}

// actionNames returns the names of the actions with the given indices.
func actionNames(path []int) []string {
	var out []string
	for _, i := range path {
		out = append(out, actions[i].name)
	}
	return out
}

const maxModelStates = 200_000

// TestEveryOrderOfEvents explores every order of events on one ticket: delayed,
// duplicated, reordered and lost messages, crashes, planned stops and expiry.
// The request must never run twice. If it runs at any time, no host may report
// before or afterwards that it did not run.
func TestEveryOrderOfEvents(t *testing.T) {
	states, violatingPath := explore(noFlaw, maxModelStates)
	if diff := cmp.Diff([]string(nil), violatingPath); diff != "" {
		t.Errorf("a guarantee is violated (-want +got):\n%s", diff)
	}
	if states >= maxModelStates {
		t.Errorf("the exploration stopped at %d states before it was complete", states)
	}
	t.Logf("%d states", states)
}

// TestModelDetectsFlaws injects faults into the protocol and checks that the
// exploration finds a violation for each of them.
func TestModelDetectsFlaws(t *testing.T) {
	for name, f := range map[string]flaw{
		"dispatch without intent": dispatchWithoutIntent,
		"attest without closing":  attestWithoutClosing,
		"hand over without seal":  handOverWithoutSeal,
		"backup runs the request": backupRunsRequest,
		"backup forgets intent":   backupForgetsIntent,
	} {
		t.Run(name, func(t *testing.T) {
			if _, violatingPath := explore(f, maxModelStates); violatingPath == nil {
				t.Error("the exploration found no violation")
			} else {
				t.Log(strings.Join(violatingPath, " -> "))
			}
		})
	}
}
