package ratelimit

import (
	"regexp"
	"strconv"
	"strings"
)

// Announcement is what the head of one response says of its upstream's limit.
type Announcement struct {
	// Rate is the announced rate, or NoLimit.
	Rate Rate
	// Problem tells why the announcement is malformed or doubtful. It is nil otherwise.
	Problem error
	// Unusable is set if the announcement says nothing of the limit, neither that there is
	// one nor that there is none.
	Unusable bool
}

// decimalNumber matches what upstreams send as a rate.
var decimalNumber = regexp.MustCompile(`^-?([0-9]+(\.[0-9]*)?|\.[0-9]+)$`)

// ParseAnnouncement decodes the values of a header that holds a rate in requests per second,
// as a decimal number. Without a value the upstream has no limit. Of several values the
// strictest one that is usable counts. Problems are of type *RateError.
func ParseAnnouncement(values []string) Announcement {
	if len(values) == 0 {
		return Announcement{}
	}
	text := strings.Join(values, ",")
	fields := strings.Split(text, ",")
	out := Announcement{Unusable: true}
	if len(fields) > 1 {
		out.Problem = &RateError{Text: text, Reason: "several values"}
	}
	for _, field := range fields {
		rate, err := parseRate(strings.TrimSpace(field))
		if err != nil {
			out.Problem = err
		}
		if rate != NoLimit && (out.Unusable || rate < out.Rate) {
			out.Rate, out.Unusable = rate, false
		}
	}
	return out
}

// parseRate returns a rate, or NoLimit if the text can't be used, and what is wrong with it.
func parseRate(text string) (Rate, error) {
	if !decimalNumber.MatchString(text) {
		return NoLimit, &RateError{Text: text, Reason: "not a decimal number"}
	}
	perSecond, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return NoLimit, &RateError{Text: text, Reason: err.Error()}
	}
	rate, err := NewRate(perSecond)
	if err == nil && perSecond == 0 {
		err = &RateError{Text: text, Reason: "zero, taken for the lowest rate"}
	}
	return rate, err
}
