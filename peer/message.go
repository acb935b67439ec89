// Package peer implements the RPC protocol between entry hosts: net/rpc with gob over
// TCP, with validated messages of limited size, a deadline for each call, and mutual
// authentication by a shared key.
package peer

import (
	"fmt"
	"slices"
	"time"

	"mulberrydyke/member"
	"mulberrydyke/plan"
	"mulberrydyke/pool"
	"mulberrydyke/ratelimit"
)

// Limits of one message's content: the length of a name and the number of runs
// and events.
const (
	maxNameBytes = 256
	maxRuns      = 1 << 16
	maxEvents    = 1 << 12
)

// MaxSuspects bounds the suspects in one message.
const MaxSuspects = 1 << 13

// MessageError reports a message with an invalid field.
type MessageError struct {
	Message string
	Field   string
}

// Error names the message and the invalid field.
func (e *MessageError) Error() string {
	return fmt.Sprintf("peer message %s: %s is not valid", e.Message, e.Field)
}

// constraint is the result of checking one field of a message.
type constraint struct {
	ok    bool
	field string
}

// checkConstraints returns a MessageError for the first constraint that is not met.
func checkConstraints(message string, constraints ...constraint) error {
	for _, c := range constraints {
		if !c.ok {
			return &MessageError{Message: message, Field: c.field}
		}
	}
	return nil
}

// isValidName reports whether s is not empty and within the length limit.
func isValidName[T ~string](s T) bool { return s != "" && len(s) <= maxNameBytes }

// BeatArgs carries a heartbeat.
type BeatArgs struct {
	Beat member.Heartbeat
	// Suspects is set if the sender's table of suspects has changed. Suspects are
	// requests that may crash upstreams.
	Suspects []pool.Suspect
}

// Check returns an error if the message is not valid.
func (a *BeatArgs) Check() error {
	return checkConstraints("beat",
		constraint{isValidName(a.Beat.Self.ID), "id"},
		constraint{isValidName(a.Beat.Self.Domain), "domain"},
		constraint{a.Beat.Self.Incarnation != 0, "incarnation"},
		constraint{len(a.Suspects) <= MaxSuspects, "suspects"})
}

// BeatReply carries the other host's own heartbeat.
type BeatReply struct {
	Beat member.Heartbeat
	// Absent lists the hosts of the replying host's domain that are dead or
	// leaving. It is set if the heartbeat came from another domain.
	Absent []plan.HostID
}

// FetchArgs requests a list in force.
type FetchArgs struct {
	Kind plan.ListKind
}

// FetchReply carries a list in the bytes that the platform published.
type FetchReply struct {
	Raw []byte
}

// SlotRequest is a request for a slot on an upstream. It carries an age in place of the
// arrival time, since the clocks of the hosts differ.
type SlotRequest struct {
	Ask pool.Request
	// Age is the time since the request arrived at its entry host.
	Age time.Duration
}

// NewSlotRequest returns a slot request with the age of the request at now in place
// of its arrival time.
func NewSlotRequest(now time.Time, request pool.Request) SlotRequest {
	age := now.Sub(request.Arrived)
	request.Arrived = time.Time{}
	return SlotRequest{Ask: request, Age: age}
}

// At returns the request with its arrival time on the receiver's clock. The
// parameter now is the receiver's time.
func (r SlotRequest) At(now time.Time) pool.Request {
	request := r.Ask
	request.Arrived = now.Add(-r.Age)
	return request
}

// constraints checks the fields of a slot request.
func (r *SlotRequest) constraints() []constraint {
	return []constraint{
		{isValidName(r.Ask.ID.Host), "host"},
		{isValidName(r.Ask.Account), "account"},
		{r.Ask.Tier >= plan.HighestTier && r.Ask.Tier <= plan.LowestTier, "tier"},
		{r.Ask.Share > 0 && r.Ask.Share <= 1, "share"},
		{r.Ask.Prompt >= 0 && r.Ask.MaxOutput >= 0, "tokens"},
		{r.Age >= 0 && r.Age < 24*time.Hour, "age"},
	}
}

// AskArgs requests a slot from a pool's scheduler. The reply is sent when the request
// is granted or refused.
type AskArgs struct {
	Pool pool.ID
	Ask  SlotRequest
}

// Check returns an error if the message is not valid.
func (a *AskArgs) Check() error {
	return checkConstraints("ask", append(a.Ask.constraints(), constraint{isValidName(a.Pool.Name), "pool"})...)
}

// AskReply carries the scheduler's decision.
type AskReply struct {
	// Moved is set if another host runs the pool's scheduler.
	Moved bool
	// Withdrawn is set if the request was withdrawn.
	Withdrawn bool
	// Command grants or refuses the request. It is set if neither flag is.
	Command pool.Command
}

// ReportArgs reports events of requests to their pool's scheduler: withdrawals, first
// tokens and ends.
type ReportArgs struct {
	Pool      pool.ID
	Withdrawn []pool.Withdrawn
	Started   []pool.Started
	Ended     []pool.Ended
	Terms     []pool.TermsStated
}

// Check returns an error if the message is not valid.
func (a *ReportArgs) Check() error {
	n := len(a.Withdrawn) + len(a.Started) + len(a.Ended) + len(a.Terms)
	validTerms := !slices.ContainsFunc(a.Terms, func(t pool.TermsStated) bool { return !isValidTerms(t) })
	return checkConstraints("report", constraint{isValidName(a.Pool.Name), "pool"}, constraint{n <= maxEvents, "events"}, constraint{validTerms, "terms"})
}

// isValidTerms reports whether what another host says of an upstream makes sense.
func isValidTerms(t pool.TermsStated) bool {
	rate, err := ratelimit.NewRate(float64(t.Rate))
	validRate := t.Rate == ratelimit.NoLimit || err == nil && rate == t.Rate
	return validRate && t.HeardAge >= 0 && t.SentAge >= t.HeardAge && t.RetryAfter >= 0
}

// RunsArgs requests what a host is running in a pool.
type RunsArgs struct {
	Pool pool.ID
}

// RunsReply lists the requests that a host is running in a pool, and the suspects it
// knows.
type RunsReply struct {
	Runs     []pool.Run
	Suspects []pool.Suspect
}

// Check returns an error if the message is not valid.
func (r *RunsReply) Check() error {
	return checkConstraints("runs", constraint{len(r.Runs) <= maxRuns, "runs"}, constraint{len(r.Suspects) <= MaxSuspects, "suspects"})
}

// Empty is an empty message.
type Empty struct{}

// HeldReply lists the sequence numbers of the requests that a host is still running in
// a pool.
type HeldReply struct {
	Incarnation uint64
	Held        []uint64
}

// Check returns an error if the message is not valid.
func (r *HeldReply) Check() error {
	return checkConstraints("held", constraint{len(r.Held) <= maxRuns, "held"})
}
