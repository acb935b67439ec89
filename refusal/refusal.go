// Package refusal defines the errors that callers get when a request has no
// complete answer. One table gives the HTTP status, the outcome and the advice for
// each code.
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

// Code is the machine-readable code of a refusal.
type Code string

// Codes of refusals. Those of schedulers and tickets are the reasons that packages
// pool and ticket define.
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

// Row holds what the table defines for one code.
type Row struct {
	// Status is the HTTP status.
	Status int
	// Outcome is the default outcome of an Error with this code.
	Outcome ticket.Outcome
	// Advice tells the caller how to proceed.
	Advice string
}

// Table returns the rows of all codes.
func Table() map[Code]Row {
	const (
		fixRequest          = "Mend the request."
		retryLater          = "Send the request again after the given time."
		retryWithNewTicket  = "Take a new ticket and send the request again."
		checkUpstreamStatus = "Find out by the upstream's own status call whether it ran before sending it under a new ticket."
	)
	return map[Code]Row{
		BadRequest:        {http.StatusBadRequest, ticket.NotRun, fixRequest},
		BodyTooLarge:      {http.StatusRequestEntityTooLarge, ticket.NotRun, fixRequest},
		BodyTimeout:       {http.StatusRequestTimeout, ticket.NotRun, "Send the whole body without pauses."},
		BadKey:            {http.StatusUnauthorized, ticket.NotRun, "Send a valid key as a bearer token."},
		NotFound:          {http.StatusNotFound, ticket.NotRun, fixRequest},
		ModelNotAllowed:   {http.StatusForbidden, ticket.NotRun, "Use a model that the account's plan lists."},
		ClassNotAllowed:   {http.StatusForbidden, ticket.NotRun, "Use a class that the account's plan lists."},
		ServiceNotAllowed: {http.StatusForbidden, ticket.NotRun, "Use a service that the account's plan lists."},
		DeadlinePassed:    {http.StatusGatewayTimeout, ticket.NotRun, "Send the request with a later deadline."},
		UpstreamFailed:    {http.StatusBadGateway, ticket.Unknown, retryLater},
		AnswerTooLarge:    {http.StatusBadGateway, ticket.Unknown, "Ask for a shorter answer."},
		Stopping:          {http.StatusServiceUnavailable, ticket.NotRun, "Send the request again; another host will take it."},
		NoLists:           {http.StatusServiceUnavailable, ticket.NotRun, retryLater},
		CallerGone:        {http.StatusRequestTimeout, ticket.Unknown, "None."},
		TicketRequired:    {http.StatusPreconditionRequired, ticket.NotRun, "Keep the ticket in this refusal with the request and send both, on every retry too."},
		NoBackup:          {http.StatusServiceUnavailable, ticket.NotRun, retryWithNewTicket},
		QueueFull:         {http.StatusTooManyRequests, ticket.NotRun, retryLater},
		NoUpstream:        {http.StatusServiceUnavailable, ticket.NotRun, retryLater},
		Quarantined:       {http.StatusUnprocessableEntity, ticket.NotRun, "Don't send this request again: upstreams crashed while running it."},
		TicketInvalid:     {http.StatusBadRequest, ticket.Unknown, "Send the ticket as it was given, with the key of the same account."},
		TicketExpired:     {http.StatusGone, ticket.Unknown, checkUpstreamStatus},
		TicketMismatch:    {http.StatusConflict, ticket.Unknown, "Send the same request under the same ticket, or take a new ticket."},
		TicketVoid:        {http.StatusConflict, ticket.NotRun, retryWithNewTicket},
		TicketSealed:      {http.StatusServiceUnavailable, ticket.NotRun, retryWithNewTicket},
		TicketsFull:       {http.StatusServiceUnavailable, ticket.Unknown, "Send the request again under the same ticket after the given time."},
		TicketHomeGone:    {http.StatusConflict, ticket.Unknown, checkUpstreamStatus},
		AnswerDropped:     {http.StatusGone, ticket.Ran, "None: the request ran, and its answer is not kept any more."},
		Interrupted:       {http.StatusBadGateway, ticket.Unknown, checkUpstreamStatus},
	}
}

// table holds the rows that New and Error.Row look up.
var table = Table()

// Error is a refusal: it tells the caller why a request has no complete answer.
type Error struct {
	Code    Code           `json:"code"`
	Outcome ticket.Outcome `json:"outcome"`
	Message string         `json:"message"`
	// RetryAfter is the time to wait before a retry. It is zero if a retry is
	// pointless.
	RetryAfter time.Duration `json:"-"`
	// Ticket is a new ticket. It is set if the request needs a ticket and has
	// none, or did not run under the one that it has.
	Ticket ticket.Token `json:"ticket,omitempty"`
}

// New returns an Error with the default outcome of its code.
func New(code Code, message string) *Error {
	return &Error{Code: code, Outcome: table[code].Outcome, Message: message}
}

// Row returns the table's row for the error's code. An unknown code gets the row of
// UpstreamFailed.
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

// WithRetryAfter sets the time to wait before a retry and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// FromError converts err to an Error. The reason of a scheduler's or ticket's error
// becomes its code. Any other error gets the code UpstreamFailed.
func FromError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	var placementErr *placement.RefusedError
	if errors.As(err, &placementErr) {
		return New(Code(placementErr.Reason), placementErr.Error()).WithRetryAfter(placementErr.RetryAfter)
	}
	var ticketErr *ticket.RefusedError
	if errors.As(err, &ticketErr) {
		converted := New(Code(ticketErr.Reason), ticketErr.Error())
		converted.Outcome = ticketErr.Outcome
		return converted
	}
	return New(UpstreamFailed, err.Error()).WithRetryAfter(time.Second)
}
