package finding

import (
	"strings"

	"mulberrydyke/plan"
	"mulberrydyke/route"
)

// address is what a request is matched by. The host is in lower case.
type address struct{ host, prefix string }

// routeEntry returns the entry of a route at an index of its list.
func routeEntry(i int, r *Route) Entry {
	return Entry{Part: PartRoute, Position: i + 1, Name: string(r.Name)}
}

func (l *list) checkRoutes(c *Configuration) {
	listed := make(map[plan.ServiceID]bool)
	for i := range c.Services {
		listed[c.Services[i].ID] = true
	}
	l.addIf(len(c.Routes) == 0, Warning, Entry{Part: PartConfiguration}, "There are no routes, so no request is served.")
	firstName := make(map[route.Name]int)
	firstAddress := make(map[address]int)
	for i := range c.Routes {
		r := &c.Routes[i]
		entry := routeEntry(i, r)
		l.checkName(entry, r, firstName)
		l.checkAddress(entry, r, firstAddress)
		l.addIf(r.UnknownKind, Error, entry, "Kind %q is unknown, and hosts treat it as %s.", r.WrittenKind, r.Kind)
		l.checkTimes(entry, r)
		l.checkSplits(entry, r, listed)
		l.checkRepetition(entry, r)
	}
}

func (l *list) checkName(entry Entry, r *Route, first map[route.Name]int) {
	if r.Name == "" {
		l.add(Warning, entry, "The route has no name, so logs can't name it.")
		return
	}
	if other, ok := first[r.Name]; ok {
		l.add(Error, entry, "Route %d has the same name.", other)
		return
	}
	first[r.Name] = entry.Position
}

// checkAddress checks host and prefix. Routes with longer prefixes never hide a route
// completely, since the path that equals its prefix remains; only an earlier route with
// the same host and prefix does. A route whose host has a port hides no other.
func (l *list) checkAddress(entry Entry, r *Route, first map[address]int) {
	l.addIf(r.Host == "", Error, entry, "The route has no host, so every host refuses the configuration.")
	l.addIf(r.Prefix == "", Error, entry, "The route has no prefix, so every host refuses the configuration.")
	l.addIf(strings.Contains(r.Host, ":"), Error, entry,
		"Host %q has a port, so the route never matches, since the port of a request is ignored.", r.Host)
	l.addIf(r.Prefix != "" && !strings.HasPrefix(r.Prefix, "/"), Error, entry,
		"Prefix %q does not begin with a slash, so the route never matches.", r.Prefix)
	l.addIf(r.Prefix != "" && !strings.HasSuffix(r.Prefix, "/"), Error, entry,
		"Prefix %q does not end with a slash, so it also matches longer names.", r.Prefix)
	if r.Host == "" || r.Prefix == "" {
		return
	}
	a := address{host: strings.ToLower(r.Host), prefix: r.Prefix}
	if other, ok := first[a]; ok {
		l.add(Warning, entry, "Route %d has the same host and prefix, so this one never matches.", other)
		return
	}
	first[a] = entry.Position
}

func (l *list) checkTimes(entry Entry, r *Route) {
	l.addIf(r.Timeout < 0, Error, entry, "The timeout, %v, is negative, so all requests fail.", r.Timeout)
	l.addIf(r.Timeout == 0, Error, entry, "There is no timeout, which counts as zero, so all requests fail.")
	l.addIf(r.LatencyTarget < 0, Error, entry, "The latency target, %v, is negative.", r.LatencyTarget)
	l.addIf(r.LatencyTarget == 0, Warning, entry, "There is no latency target, so no request is refused because it would be late.")
	l.addIf(r.EventGapTarget < 0, Error, entry, "The gap target, %v, is negative.", r.EventGapTarget)
	l.addIf(r.EventGapTarget > 0 && r.Kind != route.Stream, Warning, entry, "A gap target has no effect on a route that is not for streams.")
	if r.Timeout <= 0 {
		return
	}
	l.addIf(r.LatencyTarget > r.Timeout, Warning, entry, "The latency target, %v, is over the timeout, %v.", r.LatencyTarget, r.Timeout)
	l.addIf(r.EventGapTarget > r.Timeout, Warning, entry, "The gap target, %v, is over the timeout, %v.", r.EventGapTarget, r.Timeout)
}

func (l *list) checkSplits(entry Entry, r *Route, listed map[plan.ServiceID]bool) {
	splits := r.splits()
	if len(splits) == 0 {
		l.add(Error, entry, "The route has no service, so every host refuses the configuration.")
		return
	}
	l.addIf(len(r.Splits) > 0 && r.Service != "", Warning, entry, "Service %q has no effect, since the traffic is split.", r.Service)
	total, negative := 0, false
	seen := make(map[plan.ServiceID]bool)
	for _, s := range splits {
		total += s.Share
		negative = negative || s.Weight < 0
		l.addIf(s.Weight < 0, Error, entry, "The weight of service %q, %v, is negative.", s.Service, s.Weight)
		l.addIf(s.Share == 0 && s.Weight >= 0, Warning, entry, "The weight of service %q, %v, counts as zero, so it gets no requests.", s.Service, s.Weight)
		l.addIf(!listed[s.Service], Error, entry, "Service %q is not listed.", s.Service)
		l.addIf(seen[s.Service], Warning, entry, "Service %q has several weights.", s.Service)
		seen[s.Service] = true
	}
	l.addIf(total == 0 && !negative, Error, entry, "All weights are zero.")
}

// checkRepetition checks what concerns requests that run again. The number of attempts
// bounds the runs of a request; one that has certainly not run doesn't count, and is
// sent to another upstream on any route if time and the retry budget allow.
func (l *list) checkRepetition(entry Entry, r *Route) {
	l.addIf(r.MaxAttempts < 0, Warning, entry, "The number of attempts, %d, is negative, and hosts use 1.", r.MaxAttempts)
	l.addIf(r.Resumable && r.Kind != route.Stream, Warning, entry, "Only streams can be resumed, and the route is not for streams.")
	if r.MaxAttempts <= 1 || r.retryable() {
		return
	}
	why := "its requests are not idempotent"
	if r.Kind == route.Stream {
		why = "its streams can't be resumed"
	}
	l.add(Warning, entry, "%d attempts have no effect, since %s; a request that has certainly not run may be sent to another upstream in any case.", r.MaxAttempts, why)
}
