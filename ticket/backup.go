package ticket

import (
	"time"

	"mulberrydyke/member"
)

// Backup is the core of a ticket's backup. It acknowledges intents for tickets
// whose home is another host, and settles what became of them once the home
// can't be reached.
type Backup struct {
	self member.HostIncarnation
	life time.Duration
	most int
	// held gives when an intent was acknowledged or a ticket was closed.
	held map[Token]backupEntry
	// forgotten gives the highest sequence of each home among the intents that
	// were forgotten. Nothing can be said of tickets up to it.
	forgotten map[member.HostIncarnation]Sequence
	sealed    bool
}

type backupEntry struct {
	// closed tickets never get an acknowledgement. Others have one.
	closed bool
	at     time.Time
}

// formerMost bounds the homes of which something was forgotten.
const formerMost = 8192

// clockMargin is how much slower than the home's clock the backup's may run.
const clockMargin = 1.1

// NewBackup returns a backup that holds nothing.
func NewBackup(self member.HostIncarnation, life time.Duration, most int) *Backup {
	return &Backup{self: self, life: life, most: most, held: map[Token]backupEntry{}, forgotten: map[member.HostIncarnation]Sequence{}}
}

// Intend records that a home is about to dispatch a ticket. It returns false
// where the home must not: the ticket was closed, the backup is stopping or
// full, or the ticket names another backup.
func (b *Backup) Intend(now time.Time, t Token) bool {
	n, err := Parse(t)
	if err != nil || n.Backup != b.self || b.sealed {
		return false
	}
	entry, ok := b.held[t]
	if ok {
		return !entry.closed
	}
	if len(b.held) >= b.most {
		return false
	}
	b.held[t] = backupEntry{at: now}
	return true
}

// Attest says what became of a ticket whose home can't be reached. It first
// closes a ticket that has no intent, so that the home can never dispatch it.
func (b *Backup) Attest(now time.Time, t Token) Outcome {
	n, err := Parse(t)
	if err != nil || n.Backup != b.self {
		return Unknown
	}
	entry, ok := b.held[t]
	if ok && entry.closed {
		return NotRun
	}
	if ok || b.sealed || len(b.held) >= b.most || b.hasForgotten(n) {
		return Unknown
	}
	b.held[t] = backupEntry{closed: true, at: now}
	return NotRun
}

// hasForgotten says whether an intent for the ticket may have been forgotten.
func (b *Backup) hasForgotten(n Name) bool {
	last, ok := b.forgotten[n.Home]
	if !ok {
		return len(b.forgotten) >= formerMost
	}
	return n.Sequence <= last
}

// Expire forgets tickets that their home refuses as expired by now.
func (b *Backup) Expire(now time.Time) {
	life := time.Duration(2 * clockMargin * float64(b.life))
	for t, entry := range b.held {
		if now.Sub(entry.at) >= life {
			b.forget(t, entry)
		}
	}
}

func (b *Backup) forget(t Token, entry backupEntry) {
	n, err := Parse(t)
	if err != nil {
		return
	}
	if _, known := b.forgotten[n.Home]; !entry.closed && !known && len(b.forgotten) >= formerMost {
		return
	}
	delete(b.held, t)
	if !entry.closed {
		b.forgotten[n.Home] = max(b.forgotten[n.Home], n.Sequence)
	}
}

// Seal ends acknowledging and attesting.
func (b *Backup) Seal() { b.sealed = true }

// Count returns how many tickets are held.
func (b *Backup) Count() int { return len(b.held) }

// HandOver returns what a successor needs. It must only be called on a sealed
// backup.
func (b *Backup) HandOver() Handover {
	out := Handover{Of: b.self, Forgotten: b.forgotten}
	for t, entry := range b.held {
		if !entry.closed {
			out.Intents = append(out.Intents, t)
		}
	}
	return out
}
