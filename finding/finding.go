package finding

import (
	"cmp"
	"fmt"
	"slices"
)

// Severity tells what follows from a finding.
type Severity int

// Severities, the gravest first.
const (
	// Error means that hosts would refuse the configuration, or that requests would fail.
	Error Severity = iota
	// Warning means that the configuration works, but is probably not what was meant.
	Warning
)

// String returns the name of the severity.
func (s Severity) String() string {
	switch s {
	case Error:
		return "error"
	case Warning:
		return "warning"
	}
	return "unknown"
}

// MarshalText implements encoding.TextMarshaler.
func (s Severity) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Part is a part of the configuration.
type Part int

// Parts of a configuration, in the order in which they are printed.
const (
	PartConfiguration Part = iota
	PartLimits
	PartRoute
	PartService
	PartAccount
	PartKey
)

// String returns the name of the part.
func (p Part) String() string {
	switch p {
	case PartConfiguration:
		return "configuration"
	case PartLimits:
		return "limits"
	case PartRoute:
		return "route"
	case PartService:
		return "service"
	case PartAccount:
		return "account"
	case PartKey:
		return "key"
	}
	return "unknown"
}

// MarshalText implements encoding.TextMarshaler.
func (p Part) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// Entry names an entry of the configuration.
type Entry struct {
	Part Part `json:"part"`
	// Position is the entry's place in its list, from 1, or zero if that means nothing.
	Position int `json:"position,omitempty"`
	// Name is empty for parts that have no names. Of keys it holds the first characters.
	Name string `json:"name,omitempty"`
}

// String returns the entry as it is printed.
func (e Entry) String() string {
	text := e.Part.String()
	if e.Position > 0 {
		text += fmt.Sprintf(" %d", e.Position)
	}
	if e.Name != "" {
		text += fmt.Sprintf(" %q", e.Name)
	}
	return text
}

func compareEntries(a, b Entry) int {
	return cmp.Or(cmp.Compare(a.Part, b.Part), cmp.Compare(a.Position, b.Position), cmp.Compare(a.Name, b.Name))
}

// Finding is something that is wrong with an entry, as one sentence.
type Finding struct {
	Severity Severity `json:"severity"`
	Entry    Entry    `json:"entry"`
	Sentence string   `json:"sentence"`
}

// String returns the finding as one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s: %s: %s", f.Severity, f.Entry, f.Sentence)
}

// CountErrors returns the number of findings that are errors.
func CountErrors(findings []Finding) int {
	count := 0
	for _, f := range findings {
		if f.Severity == Error {
			count++
		}
	}
	return count
}

// list collects findings.
type list struct{ findings []Finding }

func newList() *list { return &list{findings: []Finding{}} }

func (l *list) add(severity Severity, entry Entry, format string, args ...any) {
	l.findings = append(l.findings, Finding{Severity: severity, Entry: entry, Sentence: fmt.Sprintf(format, args...)})
}

// addIf adds a finding if the condition holds.
func (l *list) addIf(condition bool, severity Severity, entry Entry, format string, args ...any) {
	if condition {
		l.add(severity, entry, format, args...)
	}
}

// sorted returns the findings: errors first, each severity by entry.
func (l *list) sorted() []Finding {
	slices.SortFunc(l.findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Severity, b.Severity), compareEntries(a.Entry, b.Entry), cmp.Compare(a.Sentence, b.Sentence))
	})
	return l.findings
}
