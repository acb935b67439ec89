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

// placementRequest returns the request for a slot that is sent to a scheduler.
func (a *activeJob) placementRequest() pool.Request {
	id := a.runner.self
	id.Sequence = a.runner.sequence.Add(1)
	return pool.Request{
		ID: id, Account: a.job.Account, Class: a.job.Class,
		Tier: a.holder.Plan.Tier, Share: a.holder.Entitlement.Share,
		Prompt: a.job.Prompt, MaxOutput: a.job.MaxOutput,
		Prefix: a.job.Prefix, Content: a.job.ContentHash(),
		Arrived: a.arrived, Target: a.holder.Plan.Targets[a.job.Class],
		Avoid: a.avoid, Idempotent: a.job.Idempotent,
	}
}

// place waits for a slot on an upstream. It asks the host's own failure domain
// first and, if that refuses, the other domains, nearest first.
func (a *activeJob) place(ctx context.Context) (*placement.Lease, error) {
	if a.job.Patience > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, a.arrived.Add(a.job.Patience))
		defer cancel()
	}
	var firstErr error
	for _, domain := range a.candidateDomains() {
		id := pool.ID{Name: a.job.Target, Kind: a.job.Kind, Domain: domain}
		lease, err := a.runner.placer.Place(ctx, id, a.placementRequest())
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
		if firstErr == nil {
			firstErr = err
		}
		if refused.Reason == pool.Quarantined {
			return nil, err
		}
	}
	if firstErr == nil {
		firstErr = refusal.New(refusal.NoUpstream, "no upstream serves "+a.job.Target).WithRetryAfter(time.Second)
	}
	return nil, firstErr
}

// candidateDomains returns the failure domains that have a live upstream for the
// job, the host's own domain first.
func (a *activeJob) candidateDomains() []plan.DomainID {
	state := a.runner.state()
	var domains []plan.DomainID
	for _, domain := range append([]plan.DomainID{a.runner.domain}, a.runner.otherDomains()...) {
		id := pool.ID{Name: a.job.Target, Kind: a.job.Kind, Domain: domain}
		for _, u := range placement.UpstreamsOf(state, id) {
			if u.State == plan.Live {
				domains = append(domains, domain)
				break
			}
		}
	}
	return domains
}
