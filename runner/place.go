package runner

import (
	"context"
	"errors"
	"time"

	"mulberrydyke/placement"
	"mulberrydyke/plan"
	"mulberrydyke/pool"
	"mulberrydyke/refusal"
)

// ask describes the job to a scheduler.
func (a *attempt) ask() pool.Request {
	id := a.r.self
	id.Sequence = a.r.sequence.Add(1)
	return pool.Request{
		ID: id, Account: a.job.Account, Class: a.job.Class,
		Tier: a.holder.Plan.Tier, Share: a.holder.Entitlement.Share,
		Prompt: a.job.Prompt, MaxOutput: a.job.MaxOutput,
		Prefix: a.job.Prefix, Content: a.job.Content(),
		Arrived: a.arrived, Target: a.holder.Plan.Targets[a.job.Class],
		Avoid: a.avoid, Idempotent: a.job.Idempotent,
	}
}

// place waits for a place: in the own failure domain first, then in the
// others, nearest first, where the own one has no room.
func (a *attempt) place(ctx context.Context) (*placement.Lease, error) {
	if a.job.Patience > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, a.arrived.Add(a.job.Patience))
		defer cancel()
	}
	var first error
	for _, domain := range a.candidates() {
		id := pool.ID{Name: a.job.Target, Kind: a.job.Kind, Domain: domain}
		lease, err := a.r.placer.Place(ctx, id, a.ask())
		if err == nil {
			return lease, nil
		}
		if errors.Is(err, context.DeadlineExceeded) {
			return nil, refusal.New(refusal.DeadlinePassed, "the deadline passed in the queue")
		}
		var refused *placement.RefusedError
		if !errors.As(err, &refused) {
			return nil, refusal.New(refusal.CallerGone, err.Error())
		}
		if first == nil {
			first = err
		}
		if refused.Reason == pool.Quarantined {
			return nil, err
		}
	}
	if first == nil {
		first = refusal.New(refusal.NoUpstream, "no upstream serves "+a.job.Target).After(time.Second)
	}
	return nil, first
}

// candidates returns the failure domains that have an upstream for the job.
func (a *attempt) candidates() []plan.DomainID {
	state := a.r.state()
	var out []plan.DomainID
	for _, domain := range append([]plan.DomainID{a.r.domain}, a.r.domains()...) {
		id := pool.ID{Name: a.job.Target, Kind: a.job.Kind, Domain: domain}
		for _, u := range placement.UpstreamsOf(state, id) {
			if u.State == plan.Live {
				out = append(out, domain)
				break
			}
		}
	}
	return out
}
