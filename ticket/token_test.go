package ticket

import (
	"errors"
	"testing"
	"time"

	"mulberrydyke/member"
)

func newTestHome(t *testing.T, most int) (*Home, Token) {
	t.Helper()
	h := NewHome(homeName, []byte("key"), time.Minute, most)
	token, err := h.Mint(modelStart, "account", backupName)
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

func TestTicketIsBoundToItsAccountAndContent(t *testing.T) {
	h, token := newTestHome(t, 8)
	_, _, err := h.Use(modelStart, token, "another account", Hash{1})
	wantRefusal(t, err, Forged, Unknown)
	if _, fresh, err := h.Use(modelStart, token, "account", Hash{1}); err != nil || !fresh {
		t.Fatalf("first use: %v", err)
	}
	_, _, err = h.Use(modelStart, token, "account", Hash{2})
	wantRefusal(t, err, OtherContent, Unknown)
	name, _ := Parse(token)
	name.Sequence++
	_, _, err = h.Use(modelStart, name.token(), "account", Hash{1})
	wantRefusal(t, err, Forged, Unknown)
}

func TestMemoryOfTicketsIsBounded(t *testing.T) {
	h, token := newTestHome(t, 1)
	other, _ := h.Mint(modelStart, "account", backupName)
	if _, _, err := h.Use(modelStart, token, "account", Hash{}); err != nil {
		t.Fatal(err)
	}
	_, _, err := h.Use(modelStart, other, "account", Hash{})
	wantRefusal(t, err, Full, Unknown)
	b := NewBackup(backupName, time.Minute, 1)
	if !b.Intend(modelStart, token) || b.Intend(modelStart, other) {
		t.Error("the backup holds more than it may")
	}
	if got := b.Attest(modelStart, other); got != Unknown {
		t.Errorf("a full backup says %s", got)
	}
}

func TestOldAnswersAreDroppedFirst(t *testing.T) {
	h, first := newTestHome(t, 8)
	second, _ := h.Mint(modelStart.Add(2*time.Second), "account", backupName)
	for _, token := range []Token{first, second} {
		r, _, err := h.Use(modelStart.Add(2*time.Second), token, "account", Hash{})
		if err != nil || !h.MayDispatch(modelStart, token) {
			t.Fatal(err)
		}
		_, _ = r.Answer.Write(make([]byte, 100))
		h.Finish(token, Ran, "")
	}
	h.Expire(modelStart, 150)
	_, _, err := h.Use(modelStart, first, "account", Hash{})
	wantRefusal(t, err, AnswerDropped, Ran)
	if _, _, err := h.Use(modelStart, second, "account", Hash{}); err != nil {
		t.Errorf("the newer answer: %v", err)
	}
}

func FuzzParse(f *testing.F) {
	h := NewHome(member.HostIncarnation{Host: "h", Incarnation: 1}, []byte("k"), time.Minute, 1)
	token, _ := h.Mint(modelStart, "a", member.HostIncarnation{})
	f.Add(string(token))
	f.Add("")
	f.Fuzz(func(t *testing.T, text string) {
		n, err := Parse(Token(text))
		if err == nil && n.token() != Token(text) {
			t.Error("two texts for one ticket")
		}
	})
}
