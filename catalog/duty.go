package catalog

import "time"

const (
	// backupWatchFactor multiplies the watch period for hosts that read the store as backups.
	backupWatchFactor = 10
	// minMeanRetryDelay is the mean delay after a failed call of the store. It doubles with each
	// further failure up to MaxMeanRetryDelay. The actual delay is random, between half and one
	// and a half of the mean.
	minMeanRetryDelay = 250 * time.Millisecond
	MaxMeanRetryDelay = 700 * time.Millisecond
	// maxDoublings bounds the doublings of minMeanRetryDelay.
	maxDoublings = 4
)

// MeanRetryDelay returns the mean delay after a failed call that came after a number of
// other failures.
func MeanRetryDelay(failures int) time.Duration {
	return min(MaxMeanRetryDelay, minMeanRetryDelay<<min(failures, maxDoublings))
}

// ReadDuty is the part of a host in reading the store for its failure domain.
type ReadDuty struct {
	MustRead bool
	// First is set on the first of the hosts of the domain that read. It finds out
	// whether the store is silent; the others are its backups.
	First bool
	// FailingSince is when the store began to fail for hosts of the domain that read it. It is zero
	// if it fails for none.
	FailingSince time.Time
}

// WatchWait returns how long the store may hold a watch of this host without an event,
// given that of the first reader.
func (d ReadDuty) WatchWait(period time.Duration) time.Duration {
	if d.First {
		return period
	}
	return backupWatchFactor * period
}
