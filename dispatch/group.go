package dispatch

import (
	"math"
	"sort"
	"time"

	"mulberrydyke/route"
)

const (
	// divideEvery is how often the engines are divided anew.
	divideEvery = 500 * time.Millisecond
	// rateSpan is the time over which arriving prompt tokens are averaged.
	rateSpan = 2 * time.Second
	// slotShare is the part of an engine's slots that short prompts should take.
	slotShare = 0.6
	// shortsLeast and shortsMost bound the part of the engines for short prompts.
	shortsLeast = 0.2
	shortsMost  = 0.7
	// shrinkRoom is the part of the engines for short prompts that may stand idle
	// before there are fewer.
	shrinkRoom = 0.2
	// shortsAtFirst is the part of the engines for short prompts while no load
	// is known.
	shortsAtFirst = 0.4
)

// group is the upstreams of one service.
type group struct {
	// targets are sorted so that every leading part is spread over the failure
	// domains. All hosts sort alike.
	targets []*target
	// shorts is how many of the usable targets are for short prompts.
	shorts  int
	divided time.Time
	// wanted is how many this host would have, othersWanted what its peers would.
	wanted       int
	othersWanted []int
	// gaps holds the longest pause between two events that each class allows, as
	// last seen.
	gaps        [3]time.Duration
	eventTokens int
	// samples are this host's measurements of the engines' speed, othersSamples
	// those of its peers.
	samples, othersSamples Samples
	// longRate is this host's arriving prompt tokens of long requests a second,
	// as of rateAt; othersRate is the same of its peers.
	longRate, othersRate float64
	rateAt               time.Time
}

// inherit keeps what was measured before the list of upstreams changed. The
// division is made anew.
func (g *group) inherit(old *group) {
	g.wanted, g.gaps, g.eventTokens = old.wanted, old.gaps, old.eventTokens
	g.samples, g.longRate, g.rateAt = old.samples, old.longRate, old.rateAt
}

// spread sorts the targets: the first of each domain, the second of each domain,
// and so on.
func (g *group) spread() {
	sort.Slice(g.targets, func(i, j int) bool { return placeOf(g.targets[i]) < placeOf(g.targets[j]) })
	seen := map[string]int{}
	rank := make(map[*target]int, len(g.targets))
	for _, t := range g.targets {
		d := string(t.upstream.Domain)
		rank[t] = seen[d]
		seen[d]++
	}
	sort.SliceStable(g.targets, func(i, j int) bool { return rank[g.targets[i]] < rank[g.targets[j]] })
}

func placeOf(t *target) uint64 { return route.Hash("place", string(t.upstream.ID)) }

// arrived counts the prompt tokens of a long request.
func (g *group) arrived(now time.Time, class Class, missing int) {
	if class != Long {
		return
	}
	g.longRate = g.rate(now) + float64(missing)/rateSpan.Seconds()
	g.rateAt = now
}

// rate returns this host's arriving prompt tokens a second.
func (g *group) rate(now time.Time) float64 {
	return g.longRate * math.Exp(-now.Sub(g.rateAt).Seconds()/rateSpan.Seconds())
}

// divide decides anew how many engines are for short prompts, and which. All
// hosts should divide alike, since a subject's home depends on it: so each host
// tells the others what it would do, and the median is done.
func (c *Core) divide(now time.Time, g *group, e *route.Engine) {
	if now.Sub(g.divided) < divideEvery && g.shorts > 0 {
		return
	}
	g.divided = now
	n, shorts := 0, 0
	for _, t := range g.targets {
		t.usable = c.usable(now, t)
		if t.usable {
			n++
			shorts += t.load().short
		}
	}
	if n < 2 {
		g.shorts = max(1, g.shorts)
	} else {
		g.wanted = g.wish(e, n, shorts)
		g.shorts = min(n-1, median(append(g.othersWanted, g.wanted)))
	}
	g.assign()
}

// usable says whether an engine takes part in the division: it takes work, was
// reached lately, and its domain is heard.
func (c *Core) usable(now time.Time, t *target) bool {
	if t.upstream.State != route.Ready || t.misdirected || (t.misses >= missesMost && now.Before(t.shunnedUntil)) {
		return false
	}
	return t.upstream.Domain == c.domain || !c.silent(now, t.upstream.Domain)
}

// assign gives the first engines to short prompts. Those that can't be used now
// are on neither side; they count as being for short prompts.
func (g *group) assign() {
	left := g.shorts
	for _, t := range g.targets {
		t.forLong = t.usable && left <= 0
		if t.usable {
			left--
		}
	}
}

// wish returns the number of engines that the short prompts need, which go first:
// they are the more urgent ones and the smaller part of the work. It grows as
// soon as they need more, and shrinks only well below, since a change moves the
// homes of subjects.
func (g *group) wish(e *route.Engine, n, shorts int) int {
	if g.wanted == 0 {
		g.wanted = max(1, int(shortsAtFirst*float64(n)))
	}
	need := float64(shorts) / (slotShare * float64(max(1, e.Slots)))
	least, most := max(1, int(shortsLeast*float64(n))), max(1, int(shortsMost*float64(n)))
	want := g.wanted
	if need > float64(want) || need < float64(want)*(1-shrinkRoom)-1 {
		want = int(math.Ceil(need))
	}
	return min(most, max(least, want))
}

// pace returns the measured speed of the engines: tokens read in a millisecond,
// and the delay in milliseconds that comes besides.
func (g *group) pace() (speed, delay float64) {
	all := g.samples
	all.add(&g.othersSamples)
	return all.fit()
}

// median returns the lower median of a list, which it sorts.
func median(list []int) int {
	sort.Ints(list)
	return list[(len(list)-1)/2]
}

// homes returns the indexes of the targets that prompts of a class on a subject
// belong to, by rendezvous hashing over the targets for the class that can take
// work. Each is -1 where there is none.
func (g *group) homes(subject string, class Class) (first, second int) {
	from, to := 0, min(g.shorts, len(g.targets))
	from, to = 0, len(g.targets)
	first, second = -1, -1
	var bar, secondBar uint64
	for i := from; i < to; i++ {
		u := g.targets[i].upstream
		if u.State != route.Ready {
			continue
		}
		h := route.Hash(subject, string(u.ID))
		switch {
		case first < 0 || h > bar:
			second, secondBar = first, bar
			first, bar = i, h
		case second < 0 || h > secondBar:
			second, secondBar = i, h
		}
	}
	return first, second
}

// failureFloor returns the lowest failure rate of the group, which is normal for
// the service.
func (g *group) failureFloor() float64 {
	floor := 1.0
	for _, t := range g.targets {
		floor = min(floor, t.failures)
	}
	return floor
}
