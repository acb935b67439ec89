package quarantine

import "time"

const (
	// maxClearedCrashes bounds one of the two generations of clearedCrashes.
	maxClearedCrashes = 2048
	// clearWindow is the time after a crash in which a request has to begin to show that
	// other upstreams went on. Later, all of them may have ended and started again.
	clearWindow = time.Second
)

// clearedCrash is a crash that a suspect has been cleared of.
type clearedCrash struct {
	// at is when the suspect noticed the crash.
	at time.Time
	// soon is set if that suspect is a part of a prompt, and the request that cleared it
	// began within clearWindow.
	soon bool
}

// clearedCrashes holds the latest crashes that suspects have been cleared of, in two generations
// to bound their number.
type clearedCrashes struct{ recent, older map[CrashID]clearedCrash }

func newClearedCrashes() clearedCrashes {
	return clearedCrashes{recent: map[CrashID]clearedCrash{}}
}

// add adds crashes that a suspect has been cleared of by a request that began at the given
// time.
func (c *clearedCrashes) add(depth Depth, began time.Time, crashes []observedCrash) {
	for _, crash := range crashes {
		soon := depth != contentDepth && began.Sub(crash.at) <= clearWindow
		cleared := clearedCrash{at: crash.at, soon: soon || c.soon(crash.id)}
		if known, ok := c.recent[crash.id]; ok && known.at.Before(cleared.at) {
			cleared.at = known.at
		}
		c.recent[crash.id] = cleared
	}
	if len(c.recent) >= maxClearedCrashes {
		c.older, c.recent = c.recent, map[CrashID]clearedCrash{}
	}
}

// soon reports whether a part was cleared of a crash soon after it.
func (c *clearedCrashes) soon(id CrashID) bool { return c.recent[id].soon || c.older[id].soon }
