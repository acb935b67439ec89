package ticket

import (
	"time"

	"mulberrydyke/member"
	"mulberrydyke/plan"
)

// Handover is the ticket state that a host transfers at its planned stop, or
// one part of it. The host is sealed first, so the state is final.
type Handover struct {
	// Of is the host, in the incarnation that stopped.
	Of member.HostIncarnation
	// Records holds the used tickets whose home the host was.
	Records []Settled
	// Spent is the highest sequence among the used tickets that the home forgot.
	Spent Sequence
	// Intents holds the tickets whose intent the host acknowledged as backup.
	Intents []Token
	// Forgotten holds, for each home, the highest sequence whose intent the
	// backup forgot.
	Forgotten map[member.HostIncarnation]Sequence
	// Last marks the last part of the handover. The successor uses the handover
	// only after it has received this part.
	Last bool
}

// maxHandovers limits the number of handovers that one host holds.
const maxHandovers = 64

// Successor holds the handovers of hosts that left and answers for their
// tickets. It is not safe for concurrent use.
type Successor struct {
	lifetime  time.Duration
	handovers map[member.HostIncarnation]*heldHandover
}

// heldHandover is the merged content of all parts of one handover.
type heldHandover struct {
	records            map[Token]Settled
	maxForgottenRecord Sequence
	intents            map[Token]bool
	// maxForgottenIntents holds, for each home, the highest sequence whose
	// intent the backup that left may have forgotten.
	maxForgottenIntents map[member.HostIncarnation]Sequence
	complete            bool
	receivedAt          time.Time
}

// NewSuccessor returns a successor without handovers, for tickets that are valid
// for lifetime.
func NewSuccessor(lifetime time.Duration) *Successor {
	return &Successor{lifetime: lifetime, handovers: map[member.HostIncarnation]*heldHandover{}}
}

// Accept adds a handover, or a further part of one. It returns false for a new
// handover if the maximum number is reached.
func (s *Successor) Accept(now time.Time, handover Handover) bool {
	held := s.handovers[handover.Of]
	if held == nil {
		if len(s.handovers) >= maxHandovers {
			return false
		}
		held = &heldHandover{records: map[Token]Settled{}, intents: map[Token]bool{}, maxForgottenIntents: map[member.HostIncarnation]Sequence{}, receivedAt: now}
		s.handovers[handover.Of] = held
	}
	for _, r := range handover.Records {
		held.records[r.Token] = r
	}
	for _, t := range handover.Intents {
		held.intents[t] = true
	}
	for home, sequence := range handover.Forgotten {
		held.maxForgottenIntents[home] = sequence
	}
	held.maxForgottenRecord = max(held.maxForgottenRecord, handover.Spent)
	held.complete = held.complete || handover.Last
	return true
}

// Use returns the record of a ticket whose home left. Errors are of type
// *RefusedError. A request whose ticket was never used at its home did not run,
// since the home was sealed.
func (s *Successor) Use(t Token, account plan.AccountID, hash Hash) (Settled, error) {
	claims, err := Parse(t)
	if err != nil {
		return Settled{}, &RefusedError{Reason: Invalid, Outcome: Unknown}
	}
	held := s.handovers[claims.Home]
	if held == nil || !held.complete {
		return Settled{}, &RefusedError{Reason: HomeGone, Outcome: Unknown}
	}
	settled, ok := held.records[t]
	switch {
	case !ok && claims.Sequence <= held.maxForgottenRecord:
		return Settled{}, &RefusedError{Reason: Expired, Outcome: Unknown}
	case !ok:
		return Settled{}, &RefusedError{Reason: Voided, Outcome: NotRun}
	case settled.Account != account, settled.Hash != hash:
		return Settled{}, &RefusedError{Reason: ContentMismatch, Outcome: Unknown}
	case settled.Reason != "":
		return Settled{}, &RefusedError{Reason: settled.Reason, Outcome: settled.Outcome}
	}
	return settled, nil
}

// Attest returns the outcome of a ticket whose backup left. A ticket that
// never had an intent did not run and never will, since the backup was sealed.
func (s *Successor) Attest(t Token) Outcome {
	claims, err := Parse(t)
	if err != nil {
		return Unknown
	}
	held := s.handovers[claims.Backup]
	if held == nil || !held.complete || held.intents[t] {
		return Unknown
	}
	if maxSequence, ok := held.maxForgottenIntents[claims.Home]; ok && claims.Sequence <= maxSequence {
		return Unknown
	}
	return NotRun
}

// Expire removes the handovers whose tickets have all expired.
func (s *Successor) Expire(now time.Time) {
	for host, held := range s.handovers {
		if now.Sub(held.receivedAt) >= time.Duration(2*maxClockDriftFactor*float64(s.lifetime)) {
			delete(s.handovers, host)
		}
	}
}

// HandOver returns all handovers, to be passed on to the next successor.
func (s *Successor) HandOver() []Handover {
	var out []Handover
	for host, held := range s.handovers {
		handover := Handover{Of: host, Spent: held.maxForgottenRecord, Forgotten: held.maxForgottenIntents, Last: held.complete}
		for _, settled := range held.records {
			handover.Records = append(handover.Records, settled)
		}
		for t := range held.intents {
			handover.Intents = append(handover.Intents, t)
		}
		out = append(out, handover)
	}
	return out
}
