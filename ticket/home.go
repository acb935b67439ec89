package ticket

import (
	"crypto/hmac"
	"fmt"
	"time"

	"mulberrydyke/member"
	"mulberrydyke/plan"
)

// Outcome says what became of a request.
type Outcome string

// Outcomes of a request.
const (
	// NotRun means that the request was not run and, under this ticket, never
	// will be.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
	// Ran means that the request ran.
	Ran Outcome = "ran"
)

// Hash identifies a request's content.
type Hash [32]byte

// RefusedError reports a use of a ticket that is not carried out.
type RefusedError struct {
	Reason  Reason
	Outcome Outcome
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("ticket refused: %s (%s)", e.Reason, e.Outcome)
}

// Reason says why a use of a ticket was refused.
type Reason string

// Reasons to refuse the use of a ticket.
const (
	// Forged means that the code is wrong for this account.
	Forged Reason = "ticket-invalid"
	// Expired means that the ticket's lifetime has passed.
	Expired Reason = "ticket-expired"
	// OtherContent means that the ticket was used for another request, which
	// may have run.
	OtherContent Reason = "ticket-mismatch"
	// Voided means that the ticket will never be dispatched.
	Voided Reason = "ticket-void"
	// Sealed means that the host is stopping.
	Sealed Reason = "ticket-sealed"
	// Full means that the host holds as many tickets as it may.
	Full Reason = "tickets-full"
	// HomeGone means that nobody is left who knows what became of it.
	HomeGone Reason = "ticket-home-gone"
	// AnswerDropped means that the request ran and its answer is not kept any
	// more.
	AnswerDropped Reason = "answer-dropped"
	// Interrupted means that the run broke off.
	Interrupted Reason = "interrupted"
)

// phase is where a used ticket stands.
type phase int

const (
	// open tickets are in use and not dispatched.
	open phase = iota
	// dispatched tickets were sent to an upstream, or are about to be.
	dispatched
	// finished tickets have their outcome.
	finished
	// voided tickets will never be dispatched.
	voided
)

// Record is a used ticket.
type Record struct {
	Token   Token
	Account plan.AccountID
	Hash    Hash
	// Answer holds what the caller gets.
	Answer *Answer
	// Outcome is set once the ticket is finished or voided.
	Outcome Outcome
	// Reason is set where the outcome is not a whole answer.
	Reason Reason

	phase  phase
	issued time.Time
}

// Home is the core of a ticket's home.
type Home struct {
	self    member.HostIncarnation
	key     []byte
	life    time.Duration
	most    int
	next    Sequence
	issued  []mint
	records map[Token]*Record
	// spent is the highest sequence among the used tickets that were
	// forgotten. Nothing can be said of unknown tickets up to it.
	spent  Sequence
	sealed bool
}

// mint remembers when tickets were issued: every ticket from sequence on, up
// to the next entry, was issued at or after the given time.
type mint struct {
	sequence Sequence
	at       time.Time
}

// mintStep is the resolution of the times of issue.
const mintStep = time.Second

// NewHome returns a home that has issued nothing. Tickets live for the given
// span; at most that many used ones are held.
func NewHome(self member.HostIncarnation, key []byte, life time.Duration, most int) *Home {
	return &Home{self: self, key: key, life: life, most: most, next: 1, records: map[Token]*Record{}}
}

// Mint issues a ticket to an account. It fails with a RefusedError once the
// home is sealed.
func (h *Home) Mint(now time.Time, account plan.AccountID, backup member.HostIncarnation) (Token, error) {
	if h.sealed {
		return "", &RefusedError{Reason: Sealed, Outcome: NotRun}
	}
	n := Name{Home: h.self, Backup: backup, Sequence: h.next}
	if k := len(h.issued); k == 0 || now.Sub(h.issued[k-1].at) >= mintStep {
		h.issued = append(h.issued, mint{sequence: h.next, at: now})
	}
	h.next++
	n.Code = n.code(h.key, account)
	return n.token(), nil
}

// issuedAt returns the earliest time at which a ticket may have been issued.
func (h *Home) issuedAt(s Sequence) (time.Time, bool) {
	for i := len(h.issued) - 1; i >= 0; i-- {
		if s >= h.issued[i].sequence {
			return h.issued[i].at, s < h.next
		}
	}
	return time.Time{}, false
}

// Use begins or takes up a request under a ticket. It returns the record and
// whether the request has to be begun now. It fails with a RefusedError.
func (h *Home) Use(now time.Time, t Token, account plan.AccountID, hash Hash) (*Record, bool, error) {
	n, err := Parse(t)
	if err != nil {
		return nil, false, &RefusedError{Reason: Forged, Outcome: Unknown}
	}
	if n.Home != h.self {
		return nil, false, &RefusedError{Reason: HomeGone, Outcome: Unknown}
	}
	if !hmac.Equal(n.Code, n.code(h.key, account)) {
		return nil, false, &RefusedError{Reason: Forged, Outcome: Unknown}
	}
	if r := h.records[t]; r != nil {
		return r, false, r.refusal(hash)
	}
	issued, ok := h.issuedAt(n.Sequence)
	if !ok || now.Sub(issued) >= h.life {
		return nil, false, &RefusedError{Reason: Expired, Outcome: Unknown}
	}
	if h.sealed {
		return nil, false, &RefusedError{Reason: Sealed, Outcome: NotRun}
	}
	if len(h.records) >= h.most {
		return nil, false, &RefusedError{Reason: Full, Outcome: Unknown}
	}
	r := &Record{Token: t, Account: account, Hash: hash, Answer: NewAnswer(), issued: issued}
	h.records[t] = r
	return r, true, nil
}

// refusal says why a used ticket gives no answer, or nil where it does.
func (r *Record) refusal(hash Hash) error {
	if r.Hash != hash {
		return &RefusedError{Reason: OtherContent, Outcome: Unknown}
	}
	if r.phase == voided {
		return &RefusedError{Reason: r.Reason, Outcome: NotRun}
	}
	if r.phase == finished && r.Reason != "" {
		return &RefusedError{Reason: r.Reason, Outcome: r.Outcome}
	}
	return nil
}

// MayDispatch is asked once the backup has acknowledged the intent, and right
// before dispatch. It returns false where the ticket was voided or has expired
// meanwhile; the ticket is then void.
func (h *Home) MayDispatch(now time.Time, t Token) bool {
	r := h.records[t]
	if r == nil || r.phase != open {
		return false
	}
	if now.Sub(r.issued) >= h.life {
		h.Void(t, Expired)
		return false
	}
	r.phase = dispatched
	return true
}

// Void settles that a ticket which was not dispatched never will be. It
// returns false for a ticket that was.
func (h *Home) Void(t Token, reason Reason) bool {
	r := h.records[t]
	if r == nil || r.phase == dispatched || r.phase == finished {
		return false
	}
	r.phase, r.Outcome, r.Reason = voided, NotRun, reason
	return true
}

// Finish records the outcome of a dispatched ticket. An empty reason means
// that the whole answer is there.
func (h *Home) Finish(t Token, outcome Outcome, reason Reason) {
	r := h.records[t]
	if r == nil || r.phase != dispatched {
		return
	}
	r.phase, r.Outcome, r.Reason = finished, outcome, reason
}

// Expire forgets tickets whose lifetime has passed and that do not run, and
// drops the oldest answers above the given number of bytes.
func (h *Home) Expire(now time.Time, bytes int64) {
	var held int64
	for t, r := range h.records {
		settled := r.phase == finished || r.phase == voided
		if settled && now.Sub(r.issued) >= 2*h.life {
			h.forget(t)
			continue
		}
		held += r.Answer.Size()
	}
	for held > bytes {
		oldest := h.oldestAnswer()
		if oldest == nil {
			break
		}
		held -= oldest.Answer.Size()
		oldest.Answer.Drop()
		oldest.Reason = AnswerDropped
	}
	for len(h.issued) > 1 && now.Sub(h.issued[1].at) >= h.life {
		h.issued = h.issued[1:]
	}
}

func (h *Home) forget(t Token) {
	delete(h.records, t)
	if n, err := Parse(t); err == nil {
		h.spent = max(h.spent, n.Sequence)
	}
}

func (h *Home) oldestAnswer() *Record {
	var oldest *Record
	for _, r := range h.records {
		if r.phase != finished || r.Reason != "" {
			continue
		}
		if oldest == nil || r.issued.Before(oldest.issued) {
			oldest = r
		}
	}
	return oldest
}

// Seal ends the issuing and beginning of tickets. What was begun goes on.
func (h *Home) Seal() { h.sealed = true }

// Busy returns how many used tickets have no outcome yet.
func (h *Home) Busy() int {
	n := 0
	for _, r := range h.records {
		if r.phase == open || r.phase == dispatched {
			n++
		}
	}
	return n
}

// Count returns how many used tickets are held.
func (h *Home) Count() int { return len(h.records) }

// Settled is a record as it is handed over at a planned stop.
type Settled struct {
	Token   Token
	Account plan.AccountID
	Hash    Hash
	Outcome Outcome
	Reason  Reason
	Answer  Kept
}

// HandOver returns what a successor needs. It must only be called on a sealed
// home that is not busy.
func (h *Home) HandOver() Handover {
	out := Handover{Of: h.self, Spent: h.spent}
	for _, r := range h.records {
		out.Records = append(out.Records, Settled{
			Token: r.Token, Account: r.Account, Hash: r.Hash,
			Outcome: r.Outcome, Reason: r.Reason, Answer: r.Answer.Keep(),
		})
	}
	return out
}
