package ticket

import (
	"crypto/hmac"
	"fmt"
	"time"

	"mulberrydyke/member"
	"mulberrydyke/plan"
)

// Outcome states whether a request ran.
type Outcome string

// Outcomes of a request.
const (
	// NotRun means that the request did not run and never will under this
	// ticket.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
	// Ran means that the request ran.
	Ran Outcome = "ran"
)

// Hash is a SHA-256 digest of a request's content.
type Hash [32]byte

// RefusedError is returned when a ticket can't be used.
type RefusedError struct {
	Reason  Reason
	Outcome Outcome
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("ticket refused: %s (%s)", e.Reason, e.Outcome)
}

// Reason is the reason why a ticket can't be used.
type Reason string

// Reasons for a RefusedError.
const (
	// Invalid means that the ticket is malformed or its authentication code does
	// not match the account.
	Invalid Reason = "ticket-invalid"
	// Expired means that the ticket's lifetime has passed.
	Expired Reason = "ticket-expired"
	// ContentMismatch means that the ticket was used for a different request,
	// which may have run.
	ContentMismatch Reason = "ticket-mismatch"
	// Voided means that the request will never be dispatched under this ticket.
	Voided Reason = "ticket-void"
	// Sealed means that the host is stopping and starts no more requests.
	Sealed Reason = "ticket-sealed"
	// Full means that the host holds the maximum number of tickets.
	Full Reason = "tickets-full"
	// HomeGone means that the ticket's home has left and no other host knows the
	// outcome.
	HomeGone Reason = "ticket-home-gone"
	// AnswerDropped means that the request ran and its answer was discarded to
	// free memory.
	AnswerDropped Reason = "answer-dropped"
	// Interrupted means that the run ended before its answer was complete.
	Interrupted Reason = "interrupted"
)

// phase is the state of a used ticket.
type phase int

const (
	// open means in use and not yet dispatched.
	open phase = iota
	// dispatched means sent to an upstream, or about to be.
	dispatched
	// finished means that the dispatch has ended and its outcome is recorded. The
	// outcome may be Unknown.
	finished
	// voided means that the ticket will never be dispatched.
	voided
)

// Record holds the state of a used ticket at its home.
type Record struct {
	Token   Token
	Account plan.AccountID
	Hash    Hash
	// Answer is the response to the caller.
	Answer *Answer
	// Outcome is set once the ticket is finished or voided.
	Outcome Outcome
	// Reason is set if there is no complete answer.
	Reason Reason

	phase    phase
	issuedAt time.Time
}

// Home implements the home's role for the tickets that a host issued: it issues
// them, decides whether they may be dispatched, and keeps their outcomes and
// answers. It is not safe for concurrent use.
type Home struct {
	self         member.HostIncarnation
	key          []byte
	lifetime     time.Duration
	maxTickets   int
	nextSequence Sequence
	issueMarks   []issueMark
	records      map[Token]*Record
	// maxForgotten is the highest sequence among the used tickets that were
	// forgotten. The outcome of unrecorded tickets up to it is unknown.
	maxForgotten Sequence
	sealed       bool
}

// issueMark records when tickets were issued: the tickets from firstSequence up
// to the next mark were issued at issuedAt or later.
type issueMark struct {
	firstSequence Sequence
	issuedAt      time.Time
}

// issueMarkInterval is the resolution of the recorded issue times.
const issueMarkInterval = time.Second

// NewHome returns a home that has issued no tickets. Tickets are valid for
// lifetime and authenticated with key. The home holds at most maxTickets used
// ones.
func NewHome(self member.HostIncarnation, key []byte, lifetime time.Duration, maxTickets int) *Home {
	return &Home{self: self, key: key, lifetime: lifetime, maxTickets: maxTickets, nextSequence: 1, records: map[Token]*Record{}}
}

// Issue issues a ticket to an account. It returns a RefusedError once the home
// is sealed.
func (h *Home) Issue(now time.Time, account plan.AccountID, backup member.HostIncarnation) (Token, error) {
	if h.sealed {
		return "", &RefusedError{Reason: Sealed, Outcome: NotRun}
	}
	claims := Claims{Home: h.self, Backup: backup, Sequence: h.nextSequence}
	if count := len(h.issueMarks); count == 0 || now.Sub(h.issueMarks[count-1].issuedAt) >= issueMarkInterval {
		h.issueMarks = append(h.issueMarks, issueMark{firstSequence: h.nextSequence, issuedAt: now})
	}
	h.nextSequence++
	claims.Code = claims.authCode(h.key, account)
	return claims.encode(), nil
}

// earliestIssue returns the earliest time at which a ticket may have been
// issued. It returns false if the ticket was never issued or its issue time is
// no longer recorded.
func (h *Home) earliestIssue(sequence Sequence) (time.Time, bool) {
	for i := len(h.issueMarks) - 1; i >= 0; i-- {
		if sequence >= h.issueMarks[i].firstSequence {
			return h.issueMarks[i].issuedAt, sequence < h.nextSequence
		}
	}
	return time.Time{}, false
}

// Use starts a request under a ticket or finds the one that the ticket was
// used for. It returns the record and whether it is new, in which case the
// caller must start the request. Errors are of type *RefusedError.
func (h *Home) Use(now time.Time, t Token, account plan.AccountID, hash Hash) (*Record, bool, error) {
	claims, err := Parse(t)
	if err != nil {
		return nil, false, &RefusedError{Reason: Invalid, Outcome: Unknown}
	}
	if claims.Home != h.self {
		return nil, false, &RefusedError{Reason: HomeGone, Outcome: Unknown}
	}
	if !hmac.Equal(claims.Code, claims.authCode(h.key, account)) {
		return nil, false, &RefusedError{Reason: Invalid, Outcome: Unknown}
	}
	if record := h.records[t]; record != nil {
		return record, false, record.checkUse(hash)
	}
	issuedAt, ok := h.earliestIssue(claims.Sequence)
	if !ok || now.Sub(issuedAt) >= h.lifetime {
		return nil, false, &RefusedError{Reason: Expired, Outcome: Unknown}
	}
	if h.sealed {
		return nil, false, &RefusedError{Reason: Sealed, Outcome: NotRun}
	}
	if len(h.records) >= h.maxTickets {
		return nil, false, &RefusedError{Reason: Full, Outcome: Unknown}
	}
	record := &Record{Token: t, Account: account, Hash: hash, Answer: NewAnswer(), issuedAt: issuedAt}
	h.records[t] = record
	return record, true, nil
}

// checkUse returns a RefusedError if the record has no answer for a request
// with this hash, and nil if it has one or will have one.
func (r *Record) checkUse(hash Hash) error {
	if r.Hash != hash {
		return &RefusedError{Reason: ContentMismatch, Outcome: Unknown}
	}
	if r.phase == voided {
		return &RefusedError{Reason: r.Reason, Outcome: NotRun}
	}
	if r.phase == finished && r.Reason != "" {
		return &RefusedError{Reason: r.Reason, Outcome: r.Outcome}
	}
	return nil
}

// MarkDispatched records that a ticket is about to be dispatched. It must be
// called after the backup has acknowledged the intent and right before
// dispatch. It returns false if the ticket was voided or has expired in the
// meantime; an expired ticket is voided.
func (h *Home) MarkDispatched(now time.Time, t Token) bool {
	record := h.records[t]
	if record == nil || record.phase != open {
		return false
	}
	if now.Sub(record.issuedAt) >= h.lifetime {
		h.Void(t, Expired)
		return false
	}
	record.phase = dispatched
	return true
}

// Void ensures that a ticket which was not dispatched never will be. It returns
// false if the ticket was dispatched or is not recorded.
func (h *Home) Void(t Token, reason Reason) bool {
	record := h.records[t]
	if record == nil || record.phase == dispatched || record.phase == finished {
		return false
	}
	record.phase, record.Outcome, record.Reason = voided, NotRun, reason
	return true
}

// Finish records the outcome of a dispatched ticket. An empty reason means that
// the answer is complete.
func (h *Home) Finish(t Token, outcome Outcome, reason Reason) {
	record := h.records[t]
	if record == nil || record.phase != dispatched {
		return
	}
	record.phase, record.Outcome, record.Reason = finished, outcome, reason
}

// Expire forgets finished and voided tickets that were issued two lifetimes ago
// or earlier. It then drops the oldest complete answers until the rest fit into
// maxAnswerBytes, and removes the issue marks of which all tickets have expired.
func (h *Home) Expire(now time.Time, maxAnswerBytes int64) {
	var answerBytes int64
	for t, record := range h.records {
		settled := record.phase == finished || record.phase == voided
		if settled && now.Sub(record.issuedAt) >= 2*h.lifetime {
			h.forget(t)
			continue
		}
		answerBytes += record.Answer.Size()
	}
	for answerBytes > maxAnswerBytes {
		oldest := h.oldestWithAnswer()
		if oldest == nil {
			break
		}
		answerBytes -= oldest.Answer.Size()
		oldest.Answer.Drop()
		oldest.Reason = AnswerDropped
	}
	for len(h.issueMarks) > 1 && now.Sub(h.issueMarks[1].issuedAt) >= h.lifetime {
		h.issueMarks = h.issueMarks[1:]
	}
}

// forget removes a ticket's record and raises maxForgotten accordingly.
func (h *Home) forget(t Token) {
	delete(h.records, t)
	if claims, err := Parse(t); err == nil {
		h.maxForgotten = max(h.maxForgotten, claims.Sequence)
	}
}

// oldestWithAnswer returns the oldest record with a complete answer, or nil.
func (h *Home) oldestWithAnswer() *Record {
	var oldest *Record
	for _, record := range h.records {
		if record.phase != finished || record.Reason != "" {
			continue
		}
		if oldest == nil || record.issuedAt.Before(oldest.issuedAt) {
			oldest = record
		}
	}
	return oldest
}

// Seal stops the home from issuing tickets and starting requests. Requests in
// progress continue.
func (h *Home) Seal() { h.sealed = true }

// InProgress returns the number of used tickets without an outcome.
func (h *Home) InProgress() int {
	n := 0
	for _, record := range h.records {
		if record.phase == open || record.phase == dispatched {
			n++
		}
	}
	return n
}

// Count returns the number of used tickets held.
func (h *Home) Count() int { return len(h.records) }

// Settled is a record with an outcome, as handed over at a planned stop.
type Settled struct {
	Token   Token
	Account plan.AccountID
	Hash    Hash
	Outcome Outcome
	Reason  Reason
	Answer  StoredAnswer
}

// HandOver returns the state that a successor needs. The home must be sealed
// and have no request in progress.
func (h *Home) HandOver() Handover {
	handover := Handover{Of: h.self, Spent: h.maxForgotten}
	for _, record := range h.records {
		handover.Records = append(handover.Records, Settled{
			Token: record.Token, Account: record.Account, Hash: record.Hash,
			Outcome: record.Outcome, Reason: record.Reason, Answer: record.Answer.Snapshot(),
		})
	}
	return handover
}
