package ticket

import (
	"time"

	"mulberrydyke/member"
)

// Backup implements the backup's role for tickets whose home is another host.
// It acknowledges the home's intent to dispatch a ticket, and determines the
// ticket's outcome when the home can't be reached. It is not safe for
// concurrent use.
type Backup struct {
	self       member.HostIncarnation
	lifetime   time.Duration
	maxTickets int
	// entries holds the tickets with an acknowledged intent and the closed ones.
	entries map[Token]backupEntry
	// maxForgotten holds, for each home, the highest sequence whose intent was
	// forgotten. The outcome of tickets up to that sequence is unknown.
	maxForgotten map[member.HostIncarnation]Sequence
	sealed       bool
}

// backupEntry is the state of one ticket at its backup.
type backupEntry struct {
	// closed is true if the ticket's intent will never be acknowledged, and
	// false if it was acknowledged.
	closed     bool
	recordedAt time.Time
}

// maxForgottenHomes limits the number of homes in Backup.maxForgotten.
const maxForgottenHomes = 8192

// maxClockDriftFactor is the maximum speed, relative to the home's clock, that
// Expire allows for the clock of a backup or successor.
const maxClockDriftFactor = 1.1

// NewBackup returns an empty backup. Tickets are valid for lifetime; the backup
// holds at most maxTickets of them.
func NewBackup(self member.HostIncarnation, lifetime time.Duration, maxTickets int) *Backup {
	return &Backup{self: self, lifetime: lifetime, maxTickets: maxTickets, entries: map[Token]backupEntry{}, maxForgotten: map[member.HostIncarnation]Sequence{}}
}

// RecordIntent records that a home is about to dispatch a ticket. It returns
// false if the home must not dispatch: the ticket is malformed, was closed or
// names another backup, or the backup is sealed or full.
func (b *Backup) RecordIntent(now time.Time, t Token) bool {
	claims, err := Parse(t)
	if err != nil || claims.Backup != b.self || b.sealed {
		return false
	}
	entry, ok := b.entries[t]
	if ok {
		return !entry.closed
	}
	if len(b.entries) >= b.maxTickets {
		return false
	}
	b.entries[t] = backupEntry{recordedAt: now}
	return true
}

// Attest returns the outcome of a ticket whose home can't be reached. A ticket
// without an intent is closed first, so that the home can never dispatch it.
func (b *Backup) Attest(now time.Time, t Token) Outcome {
	claims, err := Parse(t)
	if err != nil || claims.Backup != b.self {
		return Unknown
	}
	entry, ok := b.entries[t]
	if ok && entry.closed {
		return NotRun
	}
	if ok || b.sealed || len(b.entries) >= b.maxTickets || b.mayHaveForgotten(claims) {
		return Unknown
	}
	b.entries[t] = backupEntry{closed: true, recordedAt: now}
	return NotRun
}

// mayHaveForgotten reports whether the ticket may have had an intent that was
// forgotten.
func (b *Backup) mayHaveForgotten(claims Claims) bool {
	maxSequence, ok := b.maxForgotten[claims.Home]
	if !ok {
		return len(b.maxForgotten) >= maxForgottenHomes
	}
	return claims.Sequence <= maxSequence
}

// Expire forgets the tickets that their home already refuses as expired.
func (b *Backup) Expire(now time.Time) {
	retention := time.Duration(2 * maxClockDriftFactor * float64(b.lifetime))
	for t, entry := range b.entries {
		if now.Sub(entry.recordedAt) >= retention {
			b.forget(t, entry)
		}
	}
}

// forget removes a ticket and records that its intent, if any, was forgotten.
// It keeps a ticket with an intent if the ticket's home is not in maxForgotten
// and the map is full.
func (b *Backup) forget(t Token, entry backupEntry) {
	claims, err := Parse(t)
	if err != nil {
		return
	}
	if _, known := b.maxForgotten[claims.Home]; !entry.closed && !known && len(b.maxForgotten) >= maxForgottenHomes {
		return
	}
	delete(b.entries, t)
	if !entry.closed {
		b.maxForgotten[claims.Home] = max(b.maxForgotten[claims.Home], claims.Sequence)
	}
}

// Seal stops the backup from recording intents and closing tickets.
func (b *Backup) Seal() { b.sealed = true }

// Count returns the number of tickets held.
func (b *Backup) Count() int { return len(b.entries) }

// HandOver returns the state that a successor needs. The backup must be sealed.
func (b *Backup) HandOver() Handover {
	handover := Handover{Of: b.self, Forgotten: b.maxForgotten}
	for t, entry := range b.entries {
		if !entry.closed {
			handover.Intents = append(handover.Intents, t)
		}
	}
	return handover
}
