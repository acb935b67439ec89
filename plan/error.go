package plan

import "fmt"

// ValueError reports a field whose value is not allowed.
type ValueError struct {
	// Field is the path of the field, for example "accounts[3].plan".
	Field string
	// Value is the rejected value as text.
	Value string
	// Valid says what would be accepted.
	Want string
}

func (e *ValueError) Error() string {
	return fmt.Sprintf("%s: %q is not valid: want %s", e.Field, e.Value, e.Want)
}

// DecodeError reports bytes that are no list of the wanted kind.
type DecodeError struct {
	Kind   ListKind
	Line   int
	Reason string
}

func (e *DecodeError) Error() string {
	return fmt.Sprintf("%s: line %d: %s", e.Kind, e.Line, e.Reason)
}

// OldVersionError reports a list that is not newer than the one in force.
type OldVersionError struct {
	Kind    ListKind
	Current Version
	Offered Version
	// Conflict is true where the offered list has the version in force but
	// other content.
	Conflict bool
}

func (e *OldVersionError) Error() string {
	if e.Conflict {
		return fmt.Sprintf("%s: version %d is in force with other content", e.Kind, e.Current)
	}
	return fmt.Sprintf("%s: version %d is not above %d", e.Kind, e.Offered, e.Current)
}

// check collects the first rejected field of a list.
type check struct {
	err error
}

func (c *check) that(ok bool, valid, field string, value any) {
	if c.err != nil || ok {
		return
	}
	c.err = &ValueError{Field: field, Value: fmt.Sprint(value), Want: valid}
}
