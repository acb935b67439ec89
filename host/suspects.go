package host

import (
	"context"
	"time"

	"mulberrydyke/peer"
	"mulberrydyke/pool"
)

const (
	// reminderRounds is the number of rounds of heartbeats of which one carries the
	// suspects in quarantine, at most maxReminders.
	reminderRounds = 4
	maxReminders   = 64
)

// runSuspectBroadcasts sends the suspects that the schedulers here know to the other
// hosts, each time a scheduler here records that an upstream crashed.
func (h *Host) runSuspectBroadcasts(ctx context.Context) {
	for {
		select {
		case <-h.local.SuspectsChanged():
			h.broadcastSuspects(ctx, h.local.LocalSuspects(time.Now()))
		case <-h.fallback.SuspectsChanged():
			h.broadcastSuspects(ctx, h.fallback.LocalSuspects(time.Now()))
		case <-ctx.Done():
			return
		}
	}
}

// broadcastSuspects records suspects in all schedulers here and sends them to the
// other hosts.
func (h *Host) broadcastSuspects(ctx context.Context, suspects []pool.Suspect) {
	now := time.Now()
	h.local.MergeSuspects(now, suspects)
	h.fallback.MergeSuspects(now, suspects)
	if len(suspects) > 0 {
		h.sendSuspects(ctx, suspects)
	}
}

// receiveSuspects records the suspects that another host reported, and forwards
// them when there is something new, so that they reach every failure domain.
func (h *Host) receiveSuspects(suspects []pool.Suspect) {
	now := time.Now()
	isNew := h.local.MergeSuspects(now, suspects)
	h.fallback.MergeSuspects(now, suspects)
	if isNew {
		h.sendSuspects(context.Background(), suspects)
	}
}

// sendSuspects sends new suspects to every target at once.
func (h *Host) sendSuspects(ctx context.Context, suspects []pool.Suspect) {
	suspects = pool.MostSuspect(suspects, peer.MaxSuspects)
	for _, address := range h.fleet.heartbeatTargets(time.Now(), h.settings.Peers) {
		h.background.Go(func() { h.exchangeHeartbeat(ctx, address, suspects) })
	}
}

// reminders returns the suspects in quarantine in some rounds of heartbeats, and nil in
// the others. They are sent again for hosts that were out of reach when they were new.
func (h *Host) reminders(round int) []pool.Suspect {
	if round%reminderRounds != 0 {
		return nil
	}
	return pool.MostSuspect(h.local.QuarantinedSuspects(time.Now()), maxReminders)
}
