// Package load generates seeded load on the router and measures the service that
// callers get: attainment of latency targets by class, goodput and wasted tokens.
package load

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"mulberrydyke/plan"
)

// ClassLoad describes the requests of one class in a workload.
type ClassLoad struct {
	ID   plan.ClassID
	Plan plan.PlanID
	Tier plan.Tier
	// Fraction is the class's fraction of all requests.
	Fraction float64
	// MeanPromptTokens and MeanOutputTokens are mean lengths. Lengths are drawn
	// from exponential distributions with these means.
	MeanPromptTokens, MeanOutputTokens int
	// SharedPromptFraction is the fraction of the prompt that is the same in all
	// requests of an account.
	SharedPromptFraction float64
	Target               plan.Target
	// Idempotent says whether requests of the class may run more than once.
	Idempotent bool
}

// Profile is a workload modeled on one user of the router.
type Profile struct {
	Name    string
	Model   plan.ModelID
	Classes []ClassLoad
	// AccountsPerPlan is the number of accounts of each plan. The first two get
	// more requests than the others.
	AccountsPerPlan int
}

// latencyTarget returns a target with the given times.
func latencyTarget(firstToken, betweenTokens time.Duration) plan.Target {
	return plan.Target{FirstToken: plan.Duration(firstToken), BetweenTokens: plan.Duration(betweenTokens)}
}

// Profiles returns all workloads by name.
func Profiles() map[string]Profile {
	const ms = time.Millisecond
	return map[string]Profile{
		"skjoldmalerne": {
			Name: "skjoldmalerne", Model: "blazon", AccountsPerPlan: 10,
			Classes: []ClassLoad{
				{ID: "status", Plan: "municipal", Tier: 1, Fraction: 0.25, MeanPromptTokens: 150, MeanOutputTokens: 12, Target: latencyTarget(540*ms, 30*ms), Idempotent: true},
				{ID: "letter", Plan: "municipal", Tier: 2, Fraction: 0.35, MeanPromptTokens: 300, MeanOutputTokens: 60, Target: latencyTarget(1000*ms, 40*ms), Idempotent: true},
				{ID: "blazon", Plan: "guild", Tier: 3, Fraction: 0.20, MeanPromptTokens: 4000, MeanOutputTokens: 40, SharedPromptFraction: 0.9, Target: latencyTarget(3000*ms, 60*ms), Idempotent: true},
				{ID: "sketch", Plan: "family", Tier: 4, Fraction: 0.20, MeanPromptTokens: 200, MeanOutputTokens: 80, Target: latencyTarget(8000*ms, 100*ms), Idempotent: true},
			},
		},
		"blue-mahoe": {
			Name: "blue-mahoe", Model: "label", AccountsPerPlan: 10,
			Classes: []ClassLoad{
				{ID: "draft", Plan: "counter", Tier: 1, Fraction: 0.40, MeanPromptTokens: 400, MeanOutputTokens: 25, SharedPromptFraction: 0.5, Target: latencyTarget(540*ms, 30*ms), Idempotent: true},
				{ID: "lookup", Plan: "counter", Tier: 1, Fraction: 0.15, MeanPromptTokens: 100, MeanOutputTokens: 10, Target: latencyTarget(540*ms, 30*ms), Idempotent: true},
				{ID: "history", Plan: "clerk", Tier: 2, Fraction: 0.30, MeanPromptTokens: 300, MeanOutputTokens: 50, Target: latencyTarget(1500*ms, 50*ms), Idempotent: true},
				{ID: "digest", Plan: "night", Tier: 5, Fraction: 0.15, MeanPromptTokens: 800, MeanOutputTokens: 120, Target: latencyTarget(10000*ms, 150*ms), Idempotent: true},
			},
		},
	}
}

// planID returns the ID of the class's plan. Classes of different tiers may have the
// same value in Plan. A plan has a single tier, so its ID includes the tier.
func (c ClassLoad) planID() plan.PlanID {
	return plan.PlanID(fmt.Sprintf("%s-%d", c.Plan, c.Tier))
}

// AccountKey returns the API key of an account in a profile's lists.
func AccountKey(account plan.AccountID) string { return "key-" + string(account) }

// HashKey returns the hash of an API key as it appears in the lists.
func HashKey(key string) string {
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:])
}

// AccountID returns the ID of the account of a plan with the given index.
func AccountID(planID plan.PlanID, index int) plan.AccountID {
	return plan.AccountID(fmt.Sprintf("%s-account-%d", planID, index))
}

// Lists returns the lists of plans and entitlements for a profile. They also contain
// the class "commission", whose requests run at most once, and the service "press"
// with one such endpoint and one idempotent endpoint.
func (p Profile) Lists() (*plan.Plans, *plan.Entitlements) {
	plans := &plan.Plans{Version: 1}
	entitlements := &plan.Entitlements{Version: 1}
	entitlements.Classes = append(entitlements.Classes, plan.Class{ID: "commission"})
	entitlements.Services = []plan.Service{{ID: "press", Endpoints: []plan.Endpoint{
		{Method: "POST", Path: "/labels"},
		{Method: "GET", Path: "/boxes/*", Idempotent: true},
	}}}
	seenTiers := map[plan.Tier]bool{}
	planIndex := map[plan.PlanID]int{}
	for _, c := range p.Classes {
		entitlements.Classes = append(entitlements.Classes, plan.Class{ID: c.ID, Idempotent: c.Idempotent})
		if !seenTiers[c.Tier] {
			seenTiers[c.Tier] = true
			entitlements.Floors = append(entitlements.Floors, plan.Floor{Tier: c.Tier, Fraction: 0.03})
		}
		id := c.planID()
		if i, ok := planIndex[id]; ok {
			plans.Plans[i].Targets[c.ID] = c.Target
			entitlements.Entitlements[i].Classes = append(entitlements.Entitlements[i].Classes, c.ID)
			continue
		}
		planIndex[id] = len(plans.Plans)
		plans.Plans = append(plans.Plans, plan.Plan{ID: id, Tier: c.Tier, Targets: map[plan.ClassID]plan.Target{
			c.ID: c.Target, "commission": latencyTarget(5*time.Second, 200*time.Millisecond),
		}})
		entitlements.Entitlements = append(entitlements.Entitlements, plan.Entitlement{
			Plan: id, Models: []plan.ModelID{p.Model}, Classes: []plan.ClassID{c.ID, "commission"},
			Services: []plan.ServiceID{"press"}, Share: 0.5,
		})
		for i := range p.AccountsPerPlan {
			account := AccountID(id, i)
			plans.Accounts = append(plans.Accounts, plan.Account{ID: account, Plan: id, KeyHashes: []string{HashKey(AccountKey(account))}})
		}
	}
	return plans, entitlements
}

// Arrival is one request of a seeded sequence. Offset is its time from the start.
type Arrival struct {
	Offset       time.Duration
	Class        ClassLoad
	Account      plan.AccountID
	Prompt       string
	OutputTokens int
	// EntryIndex selects the entry host, modulo the number of hosts.
	EntryIndex int
}

// Burst multiplies the rate of one class by Factor for Duration from Start.
type Burst struct {
	Class    plan.ClassID
	Start    time.Duration
	Duration time.Duration
	Factor   float64
}

// largeAccountFraction is the fraction of requests whose account is drawn from the
// first two of a plan, the large ones. For the others it is drawn from all accounts.
const largeAccountFraction = 0.5

// Arrivals returns a seeded Poisson sequence of arrivals over duration, sorted by
// time. meanRate is in requests per second and excludes the burst.
func (p Profile) Arrivals(seed uint64, meanRate float64, duration time.Duration, burst Burst) []Arrival {
	rng := rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))
	var arrivals []Arrival
	for _, c := range p.Classes {
		for offset := time.Duration(0); ; {
			rate := meanRate * c.Fraction
			if burst.Class == c.ID && offset >= burst.Start && offset < burst.Start+burst.Duration {
				rate *= burst.Factor
			}
			offset += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
			if offset >= duration {
				break
			}
			arrivals = append(arrivals, p.newArrival(rng, c, offset, len(arrivals)))
		}
	}
	sortArrivals(arrivals)
	return arrivals
}

// newArrival returns an arrival with a random account, entry host, prompt and output
// length. The serial number makes its prompt unique.
func (p Profile) newArrival(rng *rand.Rand, class ClassLoad, offset time.Duration, serial int) Arrival {
	accountIndex := rng.IntN(p.AccountsPerPlan)
	if rng.Float64() < largeAccountFraction {
		accountIndex = rng.IntN(2)
	}
	a := Arrival{Offset: offset, Class: class, Account: AccountID(class.planID(), accountIndex), EntryIndex: rng.IntN(1 << 16)}
	a.OutputTokens = drawLength(rng, class.MeanOutputTokens, 4)
	a.Prompt = buildPrompt(a.Account, serial, drawLength(rng, class.MeanPromptTokens, 8), class.SharedPromptFraction)
	return a
}

// drawLength draws a length from an exponential distribution and limits it to the
// range from minimum to four times the mean.
func drawLength(rng *rand.Rand, mean, minimum int) int {
	length := rng.ExpFloat64() * float64(mean)
	return int(math.Min(math.Max(length, float64(minimum)), 4*float64(mean)))
}

// buildPrompt returns a prompt of about the given number of tokens. Its first part,
// sharedFraction of its length, is the same for all requests of the account.
func buildPrompt(account plan.AccountID, serial, tokens int, sharedFraction float64) string {
	const bytesPerToken = 4
	size := tokens * bytesPerToken
	sharedPrefix := repeatToSize("rules of "+string(account)+" ", int(sharedFraction*float64(size)))
	suffix := repeatToSize(fmt.Sprintf("request %d of %s ", serial, account), size-len(sharedPrefix))
	return sharedPrefix + suffix + fmt.Sprintf("#%d", serial)
}

// repeatToSize returns the first size bytes of text repeated without end.
func repeatToSize(text string, size int) string {
	out := make([]byte, 0, max(size, 0)+len(text))
	for len(out) < size {
		out = append(out, text...)
	}
	return string(out[:max(size, 0)])
}
