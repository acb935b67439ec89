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

// The model puts the real cores of one ticket's home, backup and successor
// behind a network that delays, repeats, reorders and loses messages, and tries
// every order of events up to the point where nothing new can happen.

const (
	modelLife = time.Minute
	modelMost = 8
)

var (
	homeName   = member.HostIncarnation{Host: "home", Incarnation: 1}
	backupName = member.HostIncarnation{Host: "backup", Incarnation: 1}
	modelHash  = Hash{1}
	modelStart = time.Unix(1000, 0)
)

// flaw breaks the mechanism from outside, to show that the check can fail.
type flaw int

const (
	sound flaw = iota
	// ackWithoutIntent lets the home dispatch without asking the backup.
	ackWithoutIntent
	// attestWithoutClosing lets the backup speak without closing the ticket.
	attestWithoutClosing
	// handOverWithoutSeal hands the home's records over while it goes on.
	handOverWithoutSeal
	// backupRuns lets the backup run what it closed.
	backupRuns
	// forgetfulBackup lets the backup forget an intent and speak all the same.
	forgetfulBackup
)

// model is one state of the system.
type model struct {
	flaw      flaw
	now       time.Time
	home      *Home
	backup    *Backup
	successor *Successor
	token     Token
	// Messages in the network. They are never taken out: a message may come
	// late, twice or not at all.
	intentSent, ackOK, ackNo bool
	homeUp, backupUp         bool
	homeLeft, backupLeft     bool
	begun, waiting           bool
	runs                     int
	// saidNotRun is set once anybody said that the request was not run.
	saidNotRun bool
}

func newModel(f flaw) *model {
	m := &model{
		flaw: f, now: modelStart, homeUp: true, backupUp: true,
		home:      NewHome(homeName, []byte("key"), modelLife, modelMost),
		backup:    NewBackup(backupName, modelLife, modelMost),
		successor: NewSuccessor(modelLife),
	}
	token, err := m.home.Mint(m.now, "account", backupName)
	if err != nil {
		panic(err)
	}
	m.token = token
	return m
}

// action is one thing that may happen. It returns false where it can't.
type action struct {
	name string
	do   func(*model) bool
}

func (m *model) note(err error) {
	if refused, ok := err.(*RefusedError); ok && refused.Outcome == NotRun {
		m.saidNotRun = true
	}
}

func (m *model) dispatch() {
	if m.home.MayDispatch(m.now, m.token) {
		m.runs++
	}
	m.waiting = false
}

var actions = []action{
	{"caller uses the ticket at its home", func(m *model) bool {
		if !m.homeUp {
			return false
		}
		_, fresh, err := m.home.Use(m.now, m.token, "account", modelHash)
		m.note(err)
		m.begun = m.begun || fresh
		m.waiting = m.waiting || fresh
		m.intentSent = m.intentSent || fresh
		return true
	}},
	{"intent reaches the backup", func(m *model) bool {
		if !m.intentSent || !m.backupUp {
			return false
		}
		if m.backup.Intend(m.now, m.token) {
			m.ackOK = true
		} else {
			m.ackNo = true
		}
		return true
	}},
	{"acknowledgement reaches the home", func(m *model) bool {
		if !(m.ackOK || m.flaw == ackWithoutIntent && m.waiting) || !m.homeUp || !m.waiting {
			return false
		}
		m.dispatch()
		return true
	}},
	{"refusal reaches the home, or no answer comes in time", func(m *model) bool {
		if !m.homeUp || !m.waiting {
			return false
		}
		if m.home.Void(m.token, Voided) {
			m.saidNotRun = true
		}
		m.waiting = false
		return true
	}},
	{"run ends", func(m *model) bool {
		if !m.homeUp || m.runs == 0 {
			return false
		}
		m.home.Finish(m.token, Ran, "")
		return true
	}},
	{"backup is asked", func(m *model) bool {
		if !m.backupUp {
			return false
		}
		backup := m.backup
		if m.flaw == attestWithoutClosing {
			backup = &Backup{self: m.backup.self, life: m.backup.life, most: m.backup.most, held: maps.Clone(m.backup.held), forgotten: m.backup.forgotten}
		}
		if m.flaw == forgetfulBackup {
			backup = NewBackup(backupName, modelLife, modelMost)
		}
		if backup.Attest(m.now, m.token) == NotRun {
			m.saidNotRun = true
			if m.flaw == backupRuns {
				m.runs++
				m.saidNotRun = false
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
		if !m.homeUp || m.homeLeft {
			return false
		}
		if m.flaw != handOverWithoutSeal {
			m.home.Seal()
			if m.home.Busy() > 0 {
				return true
			}
		}
		handover := m.home.HandOver()
		handover.Last = true
		m.successor.Adopt(m.now, handover)
		m.homeLeft = true
		return true
	}},
	{"backup stops as planned", func(m *model) bool {
		if !m.backupUp || m.backupLeft {
			return false
		}
		m.backup.Seal()
		handover := m.backup.HandOver()
		handover.Last = true
		m.successor.Adopt(m.now, handover)
		m.backupLeft = true
		return true
	}},
	{"caller uses the ticket at the successor", func(m *model) bool {
		_, err := m.successor.Use(m.token, "account", modelHash)
		m.note(err)
		return true
	}},
	{"successor is asked for the backup", func(m *model) bool {
		if m.successor.Attest(m.token) == NotRun {
			m.saidNotRun = true
		}
		return true
	}},
	{"the ticket's lifetime passes", func(m *model) bool {
		if m.now.Sub(modelStart) > 3*modelLife {
			return false
		}
		m.now = m.now.Add(modelLife)
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

// fingerprint tells states apart.
func (m *model) fingerprint() string {
	phase, record := "unused", m.home.records[m.token]
	if record != nil {
		phase = fmt.Sprint(record.phase, record.Outcome, record.Reason)
	}
	entry, held := m.backup.held[m.token]
	_, forgot := m.backup.forgotten[homeName]
	handovers := []string{}
	for of, in := range m.successor.handovers {
		settled := in.records[m.token]
		handovers = append(handovers, fmt.Sprint(of, settled.Outcome, settled.Reason, in.intents[m.token], len(in.forgotten), in.spent, in.at))
	}
	slices.Sort(handovers)
	return fmt.Sprint(phase, "|", held, entry, forgot, "|", m.home.spent, m.home.sealed, m.backup.sealed, m.homeUp, m.backupUp, m.homeLeft, m.backupLeft,
		m.intentSent, m.ackOK, m.ackNo, m.begun, m.waiting, m.runs, m.saidNotRun, m.now.Unix(), strings.Join(handovers, ";"))
}

// violation says what the state breaks, or nothing.
func (m *model) violation() string {
	switch {
	case m.runs > 1:
		return "the request ran twice"
	case m.runs > 0 && m.saidNotRun:
		return "somebody said not-run, and the request ran"
	}
	return ""
}

// clone returns a copy that shares nothing that changes.
func (m *model) clone() *model {
	out := *m
	home, backup, successor := *m.home, *m.backup, *m.successor
	home.records = map[Token]*Record{}
	for t, r := range m.home.records {
		record := *r
		home.records[t] = &record
	}
	home.issued = slices.Clone(m.home.issued)
	backup.held = maps.Clone(m.backup.held)
	backup.forgotten = maps.Clone(m.backup.forgotten)
	successor.handovers = map[member.HostIncarnation]*received{}
	for of, in := range m.successor.handovers {
		handover := *in
		handover.records, handover.intents, handover.forgotten = maps.Clone(in.records), maps.Clone(in.intents), maps.Clone(in.forgotten)
		successor.handovers[of] = &handover
	}
	out.home, out.backup, out.successor = &home, &backup, &successor
	return &out
}

// reached is a state and how it came about.
type reached struct {
	model *model
	path  []int
}

// explore tries every order of events. It returns the number of states and the
// first path that breaks a promise.
func explore(f flaw, most int) (states int, broken []string) {
	seen := map[string]bool{newModel(f).fingerprint(): true}
	queue := []reached{{model: newModel(f)}}
	for len(queue) > 0 && len(seen) < most {
		from := queue[0]
		queue = queue[1:]
		for i, a := range actions {
			m := from.model.clone()
			if !a.do(m) {
				continue
			}
			next := append(slices.Clone(from.path), i)
			if v := m.violation(); v != "" {
				return len(seen), append(names(next), v)
			}
			if print := m.fingerprint(); !seen[print] {
				seen[print] = true
				queue = append(queue, reached{m, next})
			}
		}
	}
	return len(seen), nil
}

func names(path []int) []string {
	var out []string
	for _, i := range path {
		out = append(out, actions[i].name)
	}
	return out
}

const modelStates = 200_000

// TestEveryOrderOfEvents tries every order of events on one ticket: messages
// late, twice, reordered and lost, crashes, planned stops, and lifetimes that
// pass. The request must never run twice, and nobody may say that it was not
// run if it ran, before or after.
func TestEveryOrderOfEvents(t *testing.T) {
	states, broken := explore(sound, modelStates)
	if diff := cmp.Diff([]string(nil), broken); diff != "" {
		t.Errorf("a promise breaks (-want +got):\n%s", diff)
	}
	if states >= modelStates {
		t.Errorf("the exploration stopped at %d states before it was complete", states)
	}
	t.Logf("%d states", states)
}

// TestModelSeesFlaws breaks the mechanism from outside and checks that the
// exploration notices.
func TestModelSeesFlaws(t *testing.T) {
	for name, f := range map[string]flaw{
		"acknowledgement without intent": ackWithoutIntent,
		"attest without closing":         attestWithoutClosing,
		"hand over without seal":         handOverWithoutSeal,
		"backup runs":                    backupRuns,
		"backup forgets":                 forgetfulBackup,
	} {
		t.Run(name, func(t *testing.T) {
			if _, broken := explore(f, modelStates); broken == nil {
				t.Error("the exploration found nothing wrong")
			} else {
				t.Log(strings.Join(broken, " -> "))
			}
		})
	}
}
