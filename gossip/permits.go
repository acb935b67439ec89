package gossip

import (
	"context"
	"net/netip"
	"time"

	"mulberrydyke/ratelimit"
	"mulberrydyke/route"
)

const (
	// permitTimeout is how long a host waits for the answer to an ask for a permit, before
	// it sends the ask again.
	permitTimeout = 30 * time.Millisecond
	// permitTries is how often an ask is sent.
	permitTries = 3
)

// pendingAsk is an ask for a permit that was sent to another host.
type pendingAsk struct {
	ask ratelimit.Ask
	to  netip.Addr
	// decision receives the answer.
	decision chan ratelimit.Decision
}

// RequestPermit gets a permit to send one request of the given urgency to an upstream whose
// rate is limited. It asks the hosts that give out the parts of the rate until one grants a
// permit, and reports whether one did. Whether the permit still holds when the request is sent
// is up to ratelimit.Limiter.MaySend.
func (n *Node) RequestPermit(ctx context.Context, u *route.Upstream, urgency int) (ratelimit.Permit, bool) {
	key := u.ProcessKey()
	for ctx.Err() == nil {
		now := n.Now()
		limit := n.Limiter.Limit(now, key)
		rate := limit.Rate()
		if rate == ratelimit.NoLimit {
			return ratelimit.Permit{}, true
		}
		holder, ok := n.Limiter.Asker.Begin(now, key, rate, urgency)
		if !ok {
			return ratelimit.Permit{}, false
		}
		decision, ok := n.askForPermit(ctx, holder, ratelimit.Ask{Key: key, Rate: limit.Announced, Cold: limit.Cold, Urgency: urgency})
		if !ok {
			n.Limiter.Asker.NotAnswered(n.Now(), holder)
			continue
		}
		n.Limiter.Asker.Decided(n.Now(), key, holder, rate, urgency, decision)
		permit := ratelimit.NewPermit(now, limit)
		if decision.Granted && n.Limiter.MaySend(n.Now(), key, permit) {
			return permit, true
		}
	}
	return ratelimit.Permit{}, false
}

// askForPermit asks a holder, which may be this host. It returns false if no answer came.
func (n *Node) askForPermit(ctx context.Context, holder netip.Addr, ask ratelimit.Ask) (ratelimit.Decision, bool) {
	n.mu.Lock()
	n.lastAsk++
	ask.Number = n.lastAsk
	n.mu.Unlock()
	if holder == n.IP {
		return n.Limiter.Decide(n.Now(), ratelimit.AskID{Host: n.Host, Incarnation: n.Incarnation, Number: ask.Number}, ask), true
	}
	p := &pendingAsk{ask: ask, to: holder, decision: make(chan ratelimit.Decision, 1)}
	n.mu.Lock()
	n.pendingAsks[ask.Number] = p
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		delete(n.pendingAsks, ask.Number)
		n.mu.Unlock()
	}()
	for range permitTries {
		n.sendMessage(n.Now(), []netip.Addr{holder}, Message{Kind: KindPermitAsk, Ask: &p.ask})
		if decision, ok := n.awaitDecision(ctx, p); ok {
			return decision, true
		}
	}
	return ratelimit.Decision{}, false
}

// waitForDecision waits for the answer to an ask, for permitTimeout at the most.
func waitForDecision(ctx context.Context, p *pendingAsk) (ratelimit.Decision, bool) {
	timer := time.NewTimer(permitTimeout)
	defer timer.Stop()
	select {
	case d := <-p.decision:
		return d, true
	case <-timer.C:
	case <-ctx.Done():
	}
	return ratelimit.Decision{}, false
}

// handlePermitMessage handles asks and decisions. Unlike other messages they are handled in
// any order.
func (n *Node) handlePermitMessage(from netip.Addr, msg *Message) {
	switch msg.Kind {
	case KindPermitAsk:
		id := ratelimit.AskID{Host: msg.Host, Incarnation: msg.Incarnation, Number: msg.Ask.Number}
		now := n.Now()
		decision := n.Limiter.Decide(now, id, *msg.Ask)
		n.sendMessage(now, []netip.Addr{from}, Message{Kind: KindPermitDecision, Decision: &decision})
	case KindPermitDecision:
		n.mu.Lock()
		p := n.pendingAsks[msg.Decision.Number]
		n.mu.Unlock()
		if p == nil || p.to != from {
			return
		}
		select {
		case p.decision <- *msg.Decision:
		default:
		}
	}
}
