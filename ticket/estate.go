package ticket

import (
	"time"

	"mulberrydyke/member"
	"mulberrydyke/plan"
)

// Estate is what a host handed over at its planned stop. It was sealed before,
// so nothing can be added to it.
type Estate struct {
	Of member.Former
	// Records are the tickets that the host was home to and that were used.
	Records []Settled
	// Spent is Home's own mark of the used tickets that it forgot.
	Spent Sequence
	// Intents are the tickets that the host was backup to and acknowledged.
	Intents []Token
	// Forgotten is Backup's own record of what it forgot.
	Forgotten map[member.Former]Sequence
	// Last marks the estate's last part. Nothing is answered before it came.
	Last bool
}

// estateMost bounds the estates that one host holds.
const estateMost = 64

// Heir holds the estates of hosts that left.
type Heir struct {
	life    time.Duration
	estates map[member.Former]*inherited
}

type inherited struct {
	records map[Token]Settled
	spent   Sequence
	intents map[Token]bool
	// forgotten gives the highest sequence of each home up to which the
	// backup that left may have forgotten intents.
	forgotten map[member.Former]Sequence
	complete  bool
	at        time.Time
}

// NewHeir returns an heir that holds nothing.
func NewHeir(life time.Duration) *Heir {
	return &Heir{life: life, estates: map[member.Former]*inherited{}}
}

// Adopt takes an estate, or a further part of one. It returns false where no
// more fit.
func (h *Heir) Adopt(now time.Time, e Estate) bool {
	in := h.estates[e.Of]
	if in == nil {
		if len(h.estates) >= estateMost {
			return false
		}
		in = &inherited{records: map[Token]Settled{}, intents: map[Token]bool{}, forgotten: map[member.Former]Sequence{}, at: now}
		h.estates[e.Of] = in
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
func (h *Heir) Use(t Token, account plan.AccountID, hash Hash) (Settled, error) {
	n, err := Parse(t)
	if err != nil {
		return Settled{}, &RefusedError{Reason: Forged, Outcome: Unknown}
	}
	in := h.estates[n.Home]
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
func (h *Heir) Attest(t Token) Outcome {
	n, err := Parse(t)
	if err != nil {
		return Unknown
	}
	in := h.estates[n.Backup]
	if in == nil || !in.complete || in.intents[t] {
		return Unknown
	}
	if last, ok := in.forgotten[n.Home]; ok && n.Sequence <= last {
		return Unknown
	}
	return NotRun
}

// Expire forgets estates whose tickets have all expired.
func (h *Heir) Expire(now time.Time) {
	for of, in := range h.estates {
		if now.Sub(in.at) >= time.Duration(2*clockMargin*float64(h.life)) {
			delete(h.estates, of)
		}
	}
}

// HandOver returns all estates, for the next successor.
func (h *Heir) HandOver() []Estate {
	var out []Estate
	for of, in := range h.estates {
		e := Estate{Of: of, Spent: in.spent, Forgotten: in.forgotten, Last: in.complete}
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
