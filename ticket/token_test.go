package ticket

import (
	"errors"
	"testing"
	"time"

	"mulberrydyke/member"
)

// newTestHome returns a home that holds at most maxTickets tickets, and a ticket
// that it issued.
func newTestHome(t *testing.T, maxTickets int) (*Home, Token) {
	t.Helper()
	h := NewHome(homeID, []byte("key"), time.Minute, maxTickets)
	token, err := h.Issue(modelStart, "account", backupID)
	if err != nil {
		t.Fatal(err)
	}
	return h, token
}

func wantRefusal(t *testing.T, err error, reason Reason, outcome Outcome) {
	t.Helper()
	var e *RefusedError
	if !errors.As(err, &e) || e.Reason != reason || e.Outcome != outcome {
		t.Errorf("got %v, want %s (%s)", err, reason, outcome)
	}
}

// TestTicketIsBoundToAccountAndContent uses one ticket from another account,
// for another request, and with a changed sequence number.
func TestTicketIsBoundToAccountAndContent(t *testing.T) {
	h, token := newTestHome(t, 8)
	_, _, err := h.Use(modelStart, token, "another account", Hash{1})
	wantRefusal(t, err, Invalid, Unknown)
	if _, isNew, err := h.Use(modelStart, token, "account", Hash{1}); err != nil || !isNew {
		t.Fatalf("first use: %v", err)
	}
	_, _, err = h.Use(modelStart, token, "account", Hash{2})
	wantRefusal(t, err, ContentMismatch, Unknown)
	claims, _ := Parse(token)
	claims.Sequence++
	_, _, err = h.Use(modelStart, claims.encode(), "account", Hash{1})
	wantRefusal(t, err, Invalid, Unknown)
}

// TestTicketCountIsBounded checks that a full home and a full backup accept no
// further ticket.
func TestTicketCountIsBounded(t *testing.T) {
	h, token := newTestHome(t, 1)
	other, _ := h.Issue(modelStart, "account", backupID)
	if _, _, err := h.Use(modelStart, token, "account", Hash{}); err != nil {
		t.Fatal(err)
	}
	_, _, err := h.Use(modelStart, other, "account", Hash{})
	wantRefusal(t, err, Full, Unknown)
	b := NewBackup(backupID, time.Minute, 1)
	if !b.RecordIntent(modelStart, token) || b.RecordIntent(modelStart, other) {
		t.Error("want an intent recorded for the first ticket only: the backup holds at most one")
	}
	if got := b.Attest(modelStart, other); got != Unknown {
		t.Errorf("a full backup attests %s, want unknown", got)
	}
}

// TestOldestAnswersAreDroppedFirst keeps two answers of 100 bytes in 150 bytes of
// memory.
func TestOldestAnswersAreDroppedFirst(t *testing.T) {
	h, first := newTestHome(t, 8)
	second, _ := h.Issue(modelStart.Add(2*time.Second), "account", backupID)
	for _, token := range []Token{first, second} {
		record, _, err := h.Use(modelStart.Add(2*time.Second), token, "account", Hash{})
		if err != nil || !h.MarkDispatched(modelStart, token) {
			t.Fatal(err)
		}
		_, _ = record.Answer.Write(make([]byte, 100))
		h.Finish(token, Ran, "")
	}
	h.Expire(modelStart, 150)
	_, _, err := h.Use(modelStart, first, "account", Hash{})
	wantRefusal(t, err, AnswerDropped, Ran)
	if _, _, err := h.Use(modelStart, second, "account", Hash{}); err != nil {
		t.Errorf("use of the ticket with the newer answer: %v", err)
	}
}

// FuzzParse checks that every token that Parse accepts is in canonical form.
func FuzzParse(f *testing.F) {
	h := NewHome(member.HostIncarnation{Host: "h", Incarnation: 1}, []byte("k"), time.Minute, 1)
	token, _ := h.Issue(modelStart, "a", member.HostIncarnation{})
	f.Add(string(token))
	f.Add("")
	f.Fuzz(func(t *testing.T, text string) {
		claims, err := Parse(Token(text))
		if err == nil && claims.encode() != Token(text) {
			t.Error("Parse accepted a token that is not in canonical form")
		}
	})
}
