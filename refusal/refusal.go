// Package refusal holds the one table of what callers are told when a request
// gets no whole answer: code, status, outcome and what to do.
package refusal

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"mulberrydyke/placement"
	"mulberrydyke/pool"
	"mulberrydyke/ticket"
)

// Code names a refusal for machines.
type Code string

// Codes of refusals. Those of schedulers and tickets are the reasons of
// packages pool and ticket.
const (
	BadRequest        Code = "bad-request"
	BodyTooLarge      Code = "body-too-large"
	BodyTimeout       Code = "body-timeout"
	BadKey            Code = "bad-key"
	NotFound          Code = "not-found"
	ModelNotAllowed   Code = "model-not-allowed"
	ClassNotAllowed   Code = "class-not-allowed"
	ServiceNotAllowed Code = "service-not-allowed"
	DeadlinePassed    Code = "deadline-passed"
	UpstreamFailed    Code = "upstream-failed"
	AnswerTooLarge    Code = "answer-too-large"
	Stopping          Code = "stopping"
	NoLists           Code = "no-lists"
	CallerGone        Code = "caller-gone"
	TicketRequired    Code = "ticket-required"
	NoBackup          Code = "no-backup"

	QueueFull      = Code(pool.QueueFull)
	NoUpstream     = Code(pool.NoUpstream)
	Quarantined    = Code(pool.Quarantined)
	TicketInvalid  = Code(ticket.Invalid)
	TicketExpired  = Code(ticket.Expired)
	TicketMismatch = Code(ticket.ContentMismatch)
	TicketVoid     = Code(ticket.Voided)
	TicketSealed   = Code(ticket.Sealed)
	TicketsFull    = Code(ticket.Full)
	TicketHomeGone = Code(ticket.HomeGone)
	AnswerDropped  = Code(ticket.AnswerDropped)
	Interrupted    = Code(ticket.Interrupted)
)

// Row is what the table says of one code.
type Row struct {
	Status int
	// Outcome is the outcome that holds unless an Error carries another.
	Outcome ticket.Outcome
	// Advice tells the caller what to do.
	Advice string
}

// Table returns the row of every code.
func Table() map[Code]Row {
	const (
		mend  = "Mend the request."
		later = "Send the request again after the given time."
		fresh = "Take a new ticket and send the request again."
		ask   = "Find out by the upstream's own status call whether it ran before sending it under a new ticket."
	)
	return map[Code]Row{
		BadRequest:        {http.StatusBadRequest, ticket.NotRun, mend},
		BodyTooLarge:      {http.StatusRequestEntityTooLarge, ticket.NotRun, mend},
		BodyTimeout:       {http.StatusRequestTimeout, ticket.NotRun, "Send the whole body without pauses."},
		BadKey:            {http.StatusUnauthorized, ticket.NotRun, "Send a valid key as a bearer token."},
		NotFound:          {http.StatusNotFound, ticket.NotRun, mend},
		ModelNotAllowed:   {http.StatusForbidden, ticket.NotRun, "Use a model that the account's plan lists."},
		ClassNotAllowed:   {http.StatusForbidden, ticket.NotRun, "Use a class that the account's plan lists."},
		ServiceNotAllowed: {http.StatusForbidden, ticket.NotRun, "Use a service that the account's plan lists."},
		DeadlinePassed:    {http.StatusGatewayTimeout, ticket.NotRun, "Send the request with a later deadline."},
		UpstreamFailed:    {http.StatusBadGateway, ticket.Unknown, later},
		AnswerTooLarge:    {http.StatusBadGateway, ticket.Unknown, "Ask for a shorter answer."},
		Stopping:          {http.StatusServiceUnavailable, ticket.NotRun, "Send the request again; another host will take it."},
		NoLists:           {http.StatusServiceUnavailable, ticket.NotRun, later},
		CallerGone:        {http.StatusRequestTimeout, ticket.Unknown, "None."},
		TicketRequired:    {http.StatusPreconditionRequired, ticket.NotRun, "Keep the ticket in this refusal with the request and send both, on every retry too."},
		NoBackup:          {http.StatusServiceUnavailable, ticket.NotRun, fresh},
		QueueFull:         {http.StatusTooManyRequests, ticket.NotRun, later},
		NoUpstream:        {http.StatusServiceUnavailable, ticket.NotRun, later},
		Quarantined:       {http.StatusUnprocessableEntity, ticket.NotRun, "Don't send this request again: upstreams crashed while running it."},
		TicketInvalid:     {http.StatusBadRequest, ticket.Unknown, "Send the ticket as it was given, with the key of the same account."},
		TicketExpired:     {http.StatusGone, ticket.Unknown, ask},
		TicketMismatch:    {http.StatusConflict, ticket.Unknown, "Send the same request under the same ticket, or take a new ticket."},
		TicketVoid:        {http.StatusConflict, ticket.NotRun, fresh},
		TicketSealed:      {http.StatusServiceUnavailable, ticket.NotRun, fresh},
		TicketsFull:       {http.StatusServiceUnavailable, ticket.Unknown, "Send the request again under the same ticket after the given time."},
		TicketHomeGone:    {http.StatusConflict, ticket.Unknown, ask},
		AnswerDropped:     {http.StatusGone, ticket.Ran, "None: the request ran, and its answer is not kept any more."},
		Interrupted:       {http.StatusBadGateway, ticket.Unknown, ask},
	}
}

var table = Table()

// Error is a request that gets no whole answer.
type Error struct {
	Code    Code           `json:"code"`
	Outcome ticket.Outcome `json:"outcome"`
	Message string         `json:"message"`
	// RetryAfter is zero where sending again is no use.
	RetryAfter time.Duration `json:"-"`
	// Ticket is a fresh ticket, with TicketRequired.
	Ticket ticket.Token `json:"ticket,omitempty"`
}

// New returns an error with the outcome that its row gives.
func New(code Code, message string) *Error {
	return &Error{Code: code, Outcome: table[code].Outcome, Message: message}
}

// Row returns the error's row of the table.
func (e *Error) Row() Row {
	row, ok := table[e.Code]
	if !ok {
		return table[UpstreamFailed]
	}
	return row
}

func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Code, e.Outcome, e.Message)
}

// WithRetryAfter returns the error with a time to wait.
func (e *Error) WithRetryAfter(span time.Duration) *Error {
	e.RetryAfter = span
	return e
}

// FromError returns err as an Error. Errors of schedulers and tickets keep their
// reason; any other becomes UpstreamFailed.
func FromError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	var refused *placement.RefusedError
	if errors.As(err, &refused) {
		return New(Code(refused.Reason), refused.Error()).WithRetryAfter(refused.RetryAfter)
	}
	var ticketed *ticket.RefusedError
	if errors.As(err, &ticketed) {
		out := New(Code(ticketed.Reason), ticketed.Error())
		out.Outcome = ticketed.Outcome
		return out
	}
	return New(UpstreamFailed, err.Error()).WithRetryAfter(time.Second)
}
