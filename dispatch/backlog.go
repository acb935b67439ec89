package dispatch

import "time"

const (
	// minBacklogSample is the number of waiting requests below which their waits are not taken
	// as the length of an engine's queue.
	minBacklogSample = 2
	// backlogInterval is how often the mean backlog of a service is computed.
	backlogInterval = 200 * time.Millisecond
	// maxBacklogTargets is the longest wait at an engine, in latency targets, with which a long prompt
	// is accepted there. Beyond it many callers leave before the first event, and what was prefilled
	// for them is lost.
	maxBacklogTargets = 2.5
	// maxBacklogTargetsUrgent is the same bound for requests of the highest priority.
	// Engines prefill them before the others that wait.
	maxBacklogTargetsUrgent = 3.5
	// overloadTargets is the mean wait at the engines for long prompts, in latency targets, above
	// which a service is overloaded.
	overloadTargets = 2.0
	// maxReportedWaiting and maxReportedOverdueMs bound what one report says of an engine, so that
	// malformed ones can't overflow the sums.
	maxReportedWaiting   = 1 << 20
	maxReportedOverdueMs = 1 << 30
	// maxBacklogWait bounds the wait that follows from the sums.
	maxBacklogWait = time.Minute
)

// measureOverdue brings the counts of this host's waiting prompts up to date.
func (t *target) measureOverdue(now time.Time) {
	t.localLoad.waiting, t.localLoad.overdueMs = 0, 0
	for l := range t.awaitingFirstEvent {
		if l.Class == ClassPlain {
			continue
		}
		t.localLoad.waiting++
		overdue := now.Sub(l.AcquiredAt) - l.ownPrefill
		t.localLoad.overdueMs += max(0, float64(overdue)/float64(time.Millisecond))
	}
}

// backlogWait returns how long a prompt waits in the queue of an engine, by how long the waiting
// requests of all hosts have waited so far: half of their whole wait on average. Unlike an estimate
// from tokens and speed it also covers what hosts don't know, such as parts that are missing in
// the cache.
func (t *target) backlogWait(now time.Time) time.Duration {
	t.measureOverdue(now)
	total := t.totalLoad()
	if total.waiting < minBacklogSample {
		return 0
	}
	wait := 2 * total.overdueMs / float64(total.waiting)
	return time.Duration(min(wait, float64(maxBacklogWait/time.Millisecond)) * float64(time.Millisecond))
}

// overloaded reports whether prompts wait for longer than overloadTargets latency targets at the
// engines for long prompts on average. Then a prompt that spills to an engine without its shared
// prefix makes all wait longer, since the prefix is prefilled again.
func (g *targetGroup) overloaded(now time.Time, latencyTarget time.Duration) bool {
	if now.Sub(g.backlogAt) >= backlogInterval {
		g.backlogAt, g.meanBacklog = now, g.computeMeanBacklog(now)
	}
	return latencyTarget > 0 && g.meanBacklog > time.Duration(overloadTargets*float64(latencyTarget))
}

// computeMeanBacklog returns the mean wait at the usable engines for long prompts.
func (g *targetGroup) computeMeanBacklog(now time.Time) time.Duration {
	sum, n := time.Duration(0), 0
	for _, t := range g.targets {
		if t.usable && t.servesLong {
			sum += t.backlogWait(now)
			n++
		}
	}
	return sum / time.Duration(max(1, n))
}

// maxBacklog returns the longest queue, by how long requests wait there, with which a long prompt is
// accepted.
func maxBacklog(q *Query) time.Duration {
	targets := maxBacklogTargets
	if q.Urgency < priorityLevels {
		targets = maxBacklogTargetsUrgent
	}
	return time.Duration(targets * float64(q.LatencyTarget))
}
