// Package trace finds the lines in the hosts' logs that explain one request.
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
	// The state messages of a request's hosts are included from contextBefore its
	// first line until contextAfter its last one.
	contextBefore = 5 * time.Second
	contextAfter  = time.Second
	// maxLineBytes limits one line of a log.
	maxLineBytes = 1 << 20
)

// Line is one line of a host's log.
type Line struct {
	Time time.Time
	Host string
	// Text is the unchanged line.
	Text string
}

var (
	timeField     = regexp.MustCompile(`\btime=(\S+)`)
	hostField     = regexp.MustCompile(`\bhost=(\S+)`)
	idField       = regexp.MustCompile(`\bid=(\S+)`)
	upstreamField = regexp.MustCompile(`\bupstream=(\S+)`)
)

// stateMessages are the messages about changes of a host's view of the system: its
// lists, the store and other hosts. A message about one upstream has the key
// upstream.
var stateMessages = []string{
	"table in force", "store lost", "store reached", "hosts of the group in reach changed", "lists fetched",
	"upstream listed", "upstream gone", "upstreams changed", "planned stop began", "started",
	"failure domain evacuated", "failure domain taken back", "process was paused", "upstream is cold", "upstream may restart cold",
}

// Read reads the lines of a log. It skips lines without a time.
func Read(r io.Reader) ([]Line, error) {
	var out []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
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

// field returns the value of the field that a pattern matches in a line, or "".
func field(pattern *regexp.Regexp, text string) string {
	match := pattern.FindStringSubmatch(text)
	if match == nil {
		return ""
	}
	return match[1]
}

// ForRequest returns the lines that explain a request, in order of time: its own
// lines, and the state messages that the hosts which served it logged from
// contextBefore its first line until contextAfter its last one. Messages about
// upstreams that the request did not use are left out.
func ForRequest(id string, lines []Line) []Line {
	var requestLines []Line
	hosts, upstreams := map[string]bool{}, map[string]bool{}
	for _, l := range lines {
		if field(idField, l.Text) != id {
			continue
		}
		requestLines = append(requestLines, l)
		hosts[l.Host] = true
		upstreams[field(upstreamField, l.Text)] = true
	}
	if len(requestLines) == 0 {
		return nil
	}
	from, to := contextWindow(requestLines)
	out := requestLines
	for _, l := range lines {
		if hosts[l.Host] && !l.Time.Before(from) && !l.Time.After(to) && isStateMessage(l.Text, upstreams) {
			out = append(out, l)
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].Time.Before(out[j].Time) })
	return out
}

// contextWindow returns the time around lines in which state messages are included.
func contextWindow(lines []Line) (from, to time.Time) {
	from, to = lines[0].Time, lines[0].Time
	for _, l := range lines {
		if l.Time.Before(from) {
			from = l.Time
		}
		if l.Time.After(to) {
			to = l.Time
		}
	}
	return from.Add(-contextBefore), to.Add(contextAfter)
}

// isStateMessage reports whether a line is a state message. A message about an
// upstream counts only if the upstream is in the set.
func isStateMessage(text string, upstreams map[string]bool) bool {
	for _, message := range stateMessages {
		if !strings.Contains(text, `msg="`+message+`"`) && !strings.Contains(text, "msg="+message+" ") {
			continue
		}
		upstream := field(upstreamField, text)
		return upstream == "" || upstreams[upstream]
	}
	return false
}
