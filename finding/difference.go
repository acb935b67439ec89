package finding

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"unicode"

	"mulberrydyke/plan"
)

// Change is what happened to an entry since the version in force.
type Change int

// Changes, in the order in which they are printed.
const (
	Removed Change = iota
	Changed
	Added
)

// String returns the name of the change.
func (c Change) String() string {
	switch c {
	case Removed:
		return "removed"
	case Changed:
		return "changed"
	case Added:
		return "added"
	}
	return "unknown"
}

// MarshalText implements encoding.TextMarshaler.
func (c Change) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// Difference is a difference of one entry from the version in force.
type Difference struct {
	Change Change `json:"change"`
	Entry  Entry  `json:"entry"`
	// Field is set for changed entries and for keys. Before is empty for entries that were
	// added, After for those that were removed.
	Field  string `json:"field,omitempty"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// String returns the difference as one line.
func (d Difference) String() string {
	switch {
	case d.Field == "":
		return fmt.Sprintf("%s: %s", d.Change, d.Entry)
	case d.Change == Changed:
		return fmt.Sprintf("%s: %s: %s from %s to %s", d.Change, d.Entry, d.Field, onOneLine(d.Before), onOneLine(d.After))
	}
	return fmt.Sprintf("%s: %s: %s %s", d.Change, d.Entry, d.Field, onOneLine(d.Before+d.After))
}

// onOneLine returns a value as it is printed: quoted if it is empty or has line breaks.
func onOneLine(value string) string {
	if value == "" || strings.ContainsFunc(value, unicode.IsControl) {
		return strconv.Quote(value)
	}
	return value
}

// Compare returns the differences of a configuration from the one in force. Removed
// routes and keys come first, since requests that use them fail from then on.
func Compare(inForce, c *Configuration) []Difference {
	before, after := describe(inForce), describe(c)
	differences := []Difference{}
	for id, fields := range before {
		if others, ok := after[id]; ok {
			differences = append(differences, compareFields(id.Entry, fields, others)...)
			continue
		}
		difference := Difference{Change: Removed, Entry: id.Entry}
		if id.Part == PartKey {
			difference.Field, difference.Before = fields[0].name, fields[0].value
		}
		differences = append(differences, difference)
	}
	for id, fields := range after {
		if _, ok := before[id]; ok {
			continue
		}
		difference := Difference{Change: Added, Entry: id.Entry}
		if id.Part == PartKey {
			difference.Field, difference.After = fields[0].name, fields[0].value
		}
		differences = append(differences, difference)
	}
	slices.SortFunc(differences, compareDifferences)
	return differences
}

// compareFields returns the fields that differ. Entries of one part have the same fields.
func compareFields(entry Entry, before, after []field) []Difference {
	var differences []Difference
	for i, f := range before {
		if f.value != after[i].value {
			differences = append(differences, Difference{Change: Changed, Entry: entry, Field: f.name, Before: f.value, After: after[i].value})
		}
	}
	return differences
}

func compareDifferences(a, b Difference) int {
	return cmp.Or(cmp.Compare(a.rank(), b.rank()), cmp.Compare(a.Change, b.Change), compareEntries(a.Entry, b.Entry),
		cmp.Compare(a.Field, b.Field), cmp.Compare(a.Before, b.Before), cmp.Compare(a.After, b.After))
}

// rank returns 0 for removed routes and keys, and 1 for all other differences.
func (d Difference) rank() int {
	if d.Change == Removed && (d.Entry.Part == PartRoute || d.Entry.Part == PartKey) {
		return 0
	}
	return 1
}

// field is a field of an entry, with its value as it is printed.
type field struct{ name, value string }

func newField(name string, value any) field { return field{name: name, value: fmt.Sprint(value)} }

// identity tells entries apart whose names are printed alike: keys with the same first
// characters, and entries with the same name.
type identity struct {
	Entry
	// key is set for keys only.
	key Key
	// occurrence counts the earlier entries with the same name.
	occurrence int
}

// description holds the fields of all entries of a configuration.
type description map[identity][]field

// add adds an entry; one that has the identity of an earlier one counts as its next
// occurrence.
func (d description) add(id identity, fields ...field) {
	for d[id] != nil {
		id.occurrence++
	}
	d[id] = fields
}

func describe(c *Configuration) description {
	d := description{}
	d.add(identity{Entry: Entry{Part: PartConfiguration}},
		newField("version", optional(c.Version)), newField("needs keys", c.Accounts != nil))
	d.add(identity{Entry: Entry{Part: PartLimits}},
		newField("header bytes", c.Limits.MaxHeaderBytes), newField("body bytes", c.Limits.MaxBodyBytes),
		newField("header timeout", c.Limits.HeaderTimeout), newField("idle timeout", c.Limits.IdleTimeout))
	for i := range c.Routes {
		d.addRoute(&c.Routes[i])
	}
	for i := range c.Services {
		d.addService(&c.Services[i])
	}
	owners := make(map[Key]plan.AccountID)
	for _, a := range c.Accounts {
		d.add(identity{Entry: Entry{Part: PartAccount, Name: string(a.ID)}}, newField("priority", optional(a.Priority)))
		for _, key := range a.Keys {
			owners[key] = a.ID
		}
	}
	for key, owner := range owners {
		d.add(identity{Entry: Entry{Part: PartKey, Name: key.String()}, key: key}, newField("account", owner))
	}
	return d
}

// addRoute adds a route, by host and prefix if it has no name.
func (d description) addRoute(r *Route) {
	name := cmp.Or(string(r.Name), r.Host+r.Prefix)
	d.add(identity{Entry: Entry{Part: PartRoute, Name: name}},
		newField("host", r.Host), newField("prefix", r.Prefix), newField("kind", r.WrittenKind),
		newField("timeout", r.Timeout), newField("latency target", r.LatencyTarget), newField("gap target", r.EventGapTarget),
		newField("priority", r.Priority), newField("attempts", r.MaxAttempts), newField("anonymous", r.Anonymous),
		newField("prefix affinity", r.PrefixAffinity), newField("resumable", r.Resumable), newField("services", weights(r.splits())))
}

func (d description) addService(s *Service) {
	var slots, cacheTokens, tokensPerEvent int
	if s.Engine != nil {
		slots, cacheTokens, tokensPerEvent = s.Engine.Slots, s.Engine.CacheTokens, s.Engine.TokensPerEvent
	}
	d.add(identity{Entry: Entry{Part: PartService, Name: string(s.ID)}},
		newField("health path", s.HealthPath), newField("connections", s.MaxConnections),
		newField("cold start", s.ColdStart), newField("cold rate", s.ColdRate), newField("runs a model", s.Engine != nil),
		newField("slots", slots), newField("memory tokens", cacheTokens), newField("tokens per event", tokensPerEvent))
}

// weights returns the services of a route with their weights, in the order of their names.
func weights(splits []Split) []string {
	var texts []string
	for _, s := range splits {
		texts = append(texts, fmt.Sprintf("%s:%v", s.Service, s.Weight))
	}
	slices.Sort(texts)
	return texts
}

// optional returns what a pointer points to, or "none".
func optional[T any](value *T) any {
	if value == nil {
		return "none"
	}
	return *value
}
