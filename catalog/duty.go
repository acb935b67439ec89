package catalog

import "time"

// backupWatchFactor multiplies the watch period for hosts that read the store as backups.
const backupWatchFactor = 10

// ReadDuty is the part of a host in reading the store for its failure domain.
type ReadDuty struct {
	MustRead bool
	// First is set on the first of the hosts of the domain that read. It finds out
	// whether the store is silent; the others are its backups.
	First bool
}

// WatchWait returns how long the store may hold a watch of this host without an event,
// given that of the first reader.
func (d ReadDuty) WatchWait(period time.Duration) time.Duration {
	if d.First {
		return period
	}
	return backupWatchFactor * period
}
