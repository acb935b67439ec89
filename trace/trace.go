// Package trace finds the lines of hosts' logs that explain one request.
package trace

import (
	"bufio"
	"io"
	"regexp"
	"sort"
	"strings"
	"time"
)

const (
	// before and after are how far around a request its hosts' changes of belief
	// count as part of its story.
	before = 5 * time.Second
	after  = time.Second
	// lineMost bounds one line of a log.
	lineMost = 1 << 20
)

// Line is one line of a host's log.
type Line struct {
	Time time.Time
	Host string
	// Text is the line as it was written.
	Text string
}

var (
	timeField     = regexp.MustCompile(`\btime=(\S+)`)
	hostField     = regexp.MustCompile(`\bhost=(\S+)`)
	idField       = regexp.MustCompile(`\bid=(\S+)`)
	upstreamField = regexp.MustCompile(`\bupstream=(\S+)`)
)

// beliefs are the messages that tell what a host believes; those about one
// upstream name it.
var beliefs = []string{
	"table in force", "store lost", "store reached", "hosts of the domain in reach changed", "lists fetched",
	"upstream listed", "upstream gone", "planned stop began", "started",
}

// Read reads the lines of a log. Lines without a time are left out.
func Read(r io.Reader) ([]Line, error) {
	var out []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, lineMost)
	for scanner.Scan() {
		text := scanner.Text()
		at, err := time.Parse(time.RFC3339Nano, field(timeField, text))
		if err != nil {
			continue
		}
		out = append(out, Line{Time: at, Host: field(hostField, text), Text: text})
	}
	return out, scanner.Err()
}

func field(f *regexp.Regexp, text string) string {
	m := f.FindStringSubmatch(text)
	if m == nil {
		return ""
	}
	return m[1]
}

// ForRequest returns the lines that explain a request, in order: its own, and what the
// hosts that served it came to believe shortly before and meanwhile, as far as it
// concerns the request's upstreams.
func ForRequest(id string, lines []Line) []Line {
	var own []Line
	hosts, upstreams := map[string]bool{}, map[string]bool{}
	for _, l := range lines {
		if field(idField, l.Text) != id {
			continue
		}
		own = append(own, l)
		hosts[l.Host] = true
		upstreams[field(upstreamField, l.Text)] = true
	}
	if len(own) == 0 {
		return nil
	}
	from, to := span(own)
	out := own
	for _, l := range lines {
		if hosts[l.Host] && !l.Time.Before(from) && !l.Time.After(to) && isBelief(l.Text, upstreams) {
			out = append(out, l)
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].Time.Before(out[j].Time) })
	return out
}

// span returns the time around lines in which beliefs count.
func span(lines []Line) (from, to time.Time) {
	from, to = lines[0].Time, lines[0].Time
	for _, l := range lines {
		if l.Time.Before(from) {
			from = l.Time
		}
		if l.Time.After(to) {
			to = l.Time
		}
	}
	return from.Add(-before), to.Add(after)
}

// isBelief says whether a line tells what a host believes, of one of the
// upstreams where it is about an upstream.
func isBelief(text string, upstreams map[string]bool) bool {
	for _, b := range beliefs {
		if !strings.Contains(text, `msg="`+b+`"`) && !strings.Contains(text, "msg="+b+" ") {
			continue
		}
		u := field(upstreamField, text)
		return u == "" || upstreams[u]
	}
	return false
}
