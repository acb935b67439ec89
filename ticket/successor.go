package ticket

import (
	"time"

	"mulberrydyke/member"
	"mulberrydyke/plan"
)

// Handover is what a host handed over at its planned stop. It was sealed before,
// so nothing can be added to it.
type Handover struct {
	Of member.HostIncarnation
	// Records are the tickets that the host was home to and that were used.
	Records []Settled
	// Spent is Home's own mark of the used tickets that it forgot.
	Spent Sequence
	// Intents are the tickets that the host was backup to and acknowledged.
	Intents []Token
	// Forgotten is Backup's own record of what it forgot.
	Forgotten map[member.HostIncarnation]Sequence
	// Last marks the handover's last part. Nothing is answered before it came.
	Last bool
}

// handoverMost bounds the handovers that one host holds.
const handoverMost = 64

// Successor holds the handovers of hosts that left.
type Successor struct {
	life      time.Duration
	handovers map[member.HostIncarnation]*received
}

type received struct {
	records map[Token]Settled
	spent   Sequence
	intents map[Token]bool
	// forgotten gives the highest sequence of each home up to which the
	// backup that left may have forgotten intents.
	forgotten map[member.HostIncarnation]Sequence
	complete  bool
	at        time.Time
}

// NewSuccessor returns an successor that holds nothing.
func NewSuccessor(life time.Duration) *Successor {
	return &Successor{life: life, handovers: map[member.HostIncarnation]*received{}}
}

// Adopt takes a handover, or a further part of one. It returns false where no
// more fit.
func (h *Successor) Adopt(now time.Time, e Handover) bool {
	in := h.handovers[e.Of]
	if in == nil {
		if len(h.handovers) >= handoverMost {
			return false
		}
		in = &received{records: map[Token]Settled{}, intents: map[Token]bool{}, forgotten: map[member.HostIncarnation]Sequence{}, at: now}
		h.handovers[e.Of] = in
	}
	for _, r := range e.Records {
		in.records[r.Token] = r
	}
	for _, t := range e.Intents {
		in.intents[t] = true
	}
	for home, last := range e.Forgotten {
		in.forgotten[home] = last
	}
	in.spent = max(in.spent, e.Spent)
	in.complete = in.complete || e.Last
	return true
}

// Use answers for a home that left. It fails with a RefusedError; a ticket
// that the home never used was not run, since the home was sealed.
func (h *Successor) Use(t Token, account plan.AccountID, hash Hash) (Settled, error) {
	n, err := Parse(t)
	if err != nil {
		return Settled{}, &RefusedError{Reason: Forged, Outcome: Unknown}
	}
	in := h.handovers[n.Home]
	if in == nil || !in.complete {
		return Settled{}, &RefusedError{Reason: HomeGone, Outcome: Unknown}
	}
	r, ok := in.records[t]
	switch {
	case !ok && n.Sequence <= in.spent:
		return Settled{}, &RefusedError{Reason: Expired, Outcome: Unknown}
	case !ok:
		return Settled{}, &RefusedError{Reason: Voided, Outcome: NotRun}
	case r.Account != account, r.Hash != hash:
		return Settled{}, &RefusedError{Reason: OtherContent, Outcome: Unknown}
	case r.Reason != "":
		return Settled{}, &RefusedError{Reason: r.Reason, Outcome: r.Outcome}
	}
	return r, nil
}

// Attest answers for a backup that left.
func (h *Successor) Attest(t Token) Outcome {
	n, err := Parse(t)
	if err != nil {
		return Unknown
	}
	in := h.handovers[n.Backup]
	if in == nil || !in.complete || in.intents[t] {
		return Unknown
	}
	if last, ok := in.forgotten[n.Home]; ok && n.Sequence <= last {
		return Unknown
	}
	return NotRun
}

// Expire forgets handovers whose tickets have all expired.
func (h *Successor) Expire(now time.Time) {
	for of, in := range h.handovers {
		if now.Sub(in.at) >= time.Duration(2*clockMargin*float64(h.life)) {
			delete(h.handovers, of)
		}
	}
}

// HandOver returns all handovers, for the next successor.
func (h *Successor) HandOver() []Handover {
	var out []Handover
	for of, in := range h.handovers {
		e := Handover{Of: of, Spent: in.spent, Forgotten: in.forgotten, Last: in.complete}
		for _, r := range in.records {
			e.Records = append(e.Records, r)
		}
		for t := range in.intents {
			e.Intents = append(e.Intents, t)
		}
		out = append(out, e)
	}
	return out
}
