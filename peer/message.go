// Package peer is the protocol between the system's own processes: net/rpc
// over TCP with messages that check themselves, a bound on their size, a
// deadline for each call, and authentication by a shared key.
package peer

import (
	"fmt"
	"time"

	"mulberrydyke/member"
	"mulberrydyke/plan"
	"mulberrydyke/pool"
)

const (
	nameMost    = 256
	runsMost    = 1 << 16
	suspectMost = 1 << 13
	eventsMost  = 1 << 12
)

// MessageError reports a message that is not valid.
type MessageError struct {
	Message string
	Field   string
}

func (e *MessageError) Error() string {
	return fmt.Sprintf("peer message %s: %s is not valid", e.Message, e.Field)
}

// rule is one condition that a message must meet.
type rule struct {
	ok    bool
	field string
}

func checkAll(message string, rules ...rule) error {
	for _, r := range rules {
		if !r.ok {
			return &MessageError{Message: message, Field: r.field}
		}
	}
	return nil
}

func isName[T ~string](s T) bool { return s != "" && len(s) <= nameMost }

// BeatArgs carries a heartbeat.
type BeatArgs struct {
	Beat member.Beat
	// Suspects is set when the sender's table of suspects changed.
	Suspects []pool.Suspect
}

// Check reports a message that is not valid.
func (a *BeatArgs) Check() error {
	return checkAll("beat",
		rule{isName(a.Beat.Self.ID), "id"},
		rule{isName(a.Beat.Self.Domain), "domain"},
		rule{a.Beat.Self.Incarnation != 0, "incarnation"},
		rule{len(a.Suspects) <= suspectMost, "suspects"})
}

// BeatReply carries the other host's own heartbeat.
type BeatReply struct {
	Beat member.Beat
	// Absent lists hosts of the sender's domain that are not there.
	Absent []plan.HostID
}

// FetchArgs asks for the list in force.
type FetchArgs struct {
	Kind plan.Kind
}

// FetchReply carries a list as the platform published it.
type FetchReply struct {
	Raw []byte
}

// SlotRequest is a request for a place, with spans in place of times, since hosts'
// clocks differ.
type SlotRequest struct {
	Ask pool.Ask
	// Age is how long ago the request arrived at its entry host.
	Age time.Duration
}

// NewSlotRequest prepares an ask for sending.
func NewSlotRequest(now time.Time, a pool.Ask) SlotRequest {
	age := now.Sub(a.Arrived)
	a.Arrived = time.Time{}
	return SlotRequest{Ask: a, Age: age}
}

// ToLocalTime returns the ask on the receiver's clock.
func (a SlotRequest) ToLocalTime(now time.Time) pool.Ask {
	out := a.Ask
	out.Arrived = now.Add(-a.Age)
	return out
}

func (a *SlotRequest) rules() []rule {
	return []rule{
		{isName(a.Ask.ID.Host), "host"},
		{isName(a.Ask.Account), "account"},
		{a.Ask.Tier >= plan.HighestTier && a.Ask.Tier <= plan.LowestTier, "tier"},
		{a.Ask.Share > 0 && a.Ask.Share <= 1, "share"},
		{a.Ask.Prompt >= 0 && a.Ask.MaxOutput >= 0, "tokens"},
		{a.Age >= 0 && a.Age < 24*time.Hour, "age"},
	}
}

// AskArgs asks a pool's scheduler for a place. The reply comes when the
// request is granted or refused.
type AskArgs struct {
	Pool pool.ID
	Ask  SlotRequest
}

// Check reports a message that is not valid.
func (a *AskArgs) Check() error {
	return checkAll("ask", append(a.Ask.rules(), rule{isName(a.Pool.Name), "pool"})...)
}

// AskReply carries the scheduler's decision.
type AskReply struct {
	// Moved is set where another host is the pool's scheduler.
	Moved bool
	// Withdrawn is set where the request was withdrawn.
	Withdrawn bool
	Command   pool.Command
}

// ReportArgs tells a pool's scheduler how requests fare.
type ReportArgs struct {
	Pool      pool.ID
	Withdrawn []pool.Withdrawn
	Started   []pool.Started
	Ended     []pool.Ended
}

// Check reports a message that is not valid.
func (a *ReportArgs) Check() error {
	n := len(a.Withdrawn) + len(a.Started) + len(a.Ended)
	return checkAll("report", rule{isName(a.Pool.Name), "pool"}, rule{n <= eventsMost, "events"})
}

// RunsArgs asks a host what it runs in a pool.
type RunsArgs struct {
	Pool pool.ID
}

// RunsReply lists what a host runs in a pool.
type RunsReply struct {
	Runs     []pool.Run
	Suspects []pool.Suspect
}

// Check reports a message that is not valid.
func (r *RunsReply) Check() error {
	return checkAll("runs", rule{len(r.Runs) <= runsMost, "runs"}, rule{len(r.Suspects) <= suspectMost, "suspects"})
}

// Empty is an empty message.
type Empty struct{}

// HeldReply lists what a host still runs in a pool, by the requests' numbers.
type HeldReply struct {
	Incarnation uint64
	Held        []uint64
}

// Check reports a message that is not valid.
func (r *HeldReply) Check() error {
	return checkAll("held", rule{len(r.Held) <= runsMost, "held"})
}
