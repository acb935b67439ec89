package plan

import "fmt"

// ValueError reports a field with an invalid value.
type ValueError struct {
	// Field is the path of the field, for example "accounts[3].plan".
	Field string
	// Value is the rejected value as text.
	Value string
	// Want describes the values that are accepted.
	Want string
}

func (e *ValueError) Error() string {
	return fmt.Sprintf("%s: %q is not valid: want %s", e.Field, e.Value, e.Want)
}

// DecodeError reports data that is not a list of the expected kind.
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
	// Conflict is set if the offered list has the version in force but
	// different content.
	Conflict bool
}

func (e *OldVersionError) Error() string {
	if e.Conflict {
		return fmt.Sprintf("%s: version %d is already in force with different content", e.Kind, e.Current)
	}
	return fmt.Sprintf("%s: version %d is not newer than version %d, which is in force", e.Kind, e.Offered, e.Current)
}

// validator records the first invalid field of a list.
type validator struct {
	err error
}

// require records a ValueError unless ok is true or an error was recorded
// before.
func (v *validator) require(ok bool, want, field string, value any) {
	if v.err != nil || ok {
		return
	}
	v.err = &ValueError{Field: field, Value: fmt.Sprint(value), Want: want}
}
