// Package load drives the product with seeded arrivals and measures what
// callers get: attainment of latency targets by class, goodput and wasted work.
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

// ClassLoad describes the requests of one class.
type ClassLoad struct {
	ID   plan.ClassID
	Plan plan.PlanID
	Tier plan.Tier
	// Part is the class's part of all requests.
	Fraction float64
	// Prompt and Output are mean lengths in tokens. Lengths are drawn from an
	// exponential distribution around them.
	MeanPromptTokens, MeanOutputTokens int
	// Shared is the part of the prompt that an account's requests share.
	SharedPromptFraction float64
	Target               plan.Target
	// Idempotent classes may be repeated.
	Idempotent bool
}

// Profile is a workload after one of the users.
type Profile struct {
	Name    string
	Model   plan.ModelID
	Classes []ClassLoad
	// Accounts is the number of accounts, the first of which are large.
	AccountsPerPlan int
}

func target(first, between time.Duration) plan.Target {
	return plan.Target{FirstToken: plan.Duration(first), BetweenTokens: plan.Duration(between)}
}

// Profiles returns the known workloads.
func Profiles() map[string]Profile {
	const ms = time.Millisecond
	return map[string]Profile{
		"skjoldmalerne": {
			Name: "skjoldmalerne", Model: "blazon", AccountsPerPlan: 10,
			Classes: []ClassLoad{
				{ID: "status", Plan: "municipal", Tier: 1, Fraction: 0.25, MeanPromptTokens: 150, MeanOutputTokens: 12, Target: target(540*ms, 30*ms), Idempotent: true},
				{ID: "letter", Plan: "municipal", Tier: 2, Fraction: 0.35, MeanPromptTokens: 300, MeanOutputTokens: 60, Target: target(1000*ms, 40*ms), Idempotent: true},
				{ID: "blazon", Plan: "guild", Tier: 3, Fraction: 0.20, MeanPromptTokens: 4000, MeanOutputTokens: 40, SharedPromptFraction: 0.9, Target: target(3000*ms, 60*ms), Idempotent: true},
				{ID: "sketch", Plan: "family", Tier: 4, Fraction: 0.20, MeanPromptTokens: 200, MeanOutputTokens: 80, Target: target(8000*ms, 100*ms), Idempotent: true},
			},
		},
		"blue-mahoe": {
			Name: "blue-mahoe", Model: "label", AccountsPerPlan: 10,
			Classes: []ClassLoad{
				{ID: "draft", Plan: "counter", Tier: 1, Fraction: 0.40, MeanPromptTokens: 400, MeanOutputTokens: 25, SharedPromptFraction: 0.5, Target: target(540*ms, 30*ms), Idempotent: true},
				{ID: "lookup", Plan: "counter", Tier: 1, Fraction: 0.15, MeanPromptTokens: 100, MeanOutputTokens: 10, Target: target(540*ms, 30*ms), Idempotent: true},
				{ID: "history", Plan: "clerk", Tier: 2, Fraction: 0.30, MeanPromptTokens: 300, MeanOutputTokens: 50, Target: target(1500*ms, 50*ms), Idempotent: true},
				{ID: "digest", Plan: "night", Tier: 5, Fraction: 0.15, MeanPromptTokens: 800, MeanOutputTokens: 120, Target: target(10000*ms, 150*ms), Idempotent: true},
			},
		},
	}
}

// planID returns the plan that holds a tier. Profiles name plans by their
// users; a plan has one tier, so the tier is part of its name.
func (c ClassLoad) planID() plan.PlanID {
	return plan.PlanID(fmt.Sprintf("%s-%d", c.Plan, c.Tier))
}

// AccountKey returns the key of an account in a profile's lists.
func AccountKey(account plan.AccountID) string { return "key-" + string(account) }

// HashKey returns the form in which the lists hold a key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// AccountID names an account of a plan.
func AccountID(p plan.PlanID, i int) plan.AccountID {
	return plan.AccountID(fmt.Sprintf("%s-account-%d", p, i))
}

// Lists returns the operators' lists for a profile. They also hold a class
// "commission" and a service "press" whose requests run at most once.
func (p Profile) Lists() (*plan.Plans, *plan.Entitlements) {
	plans := &plan.Plans{Version: 1}
	entitled := &plan.Entitlements{Version: 1}
	entitled.Classes = append(entitled.Classes, plan.Class{ID: "commission"})
	entitled.Services = []plan.Service{{ID: "press", Calls: []plan.Call{
		{Method: "POST", Path: "/labels"},
		{Method: "GET", Path: "/boxes/*", Idempotent: true},
	}}}
	tiers := map[plan.Tier]bool{}
	index := map[plan.PlanID]int{}
	for _, c := range p.Classes {
		entitled.Classes = append(entitled.Classes, plan.Class{ID: c.ID, Idempotent: c.Idempotent})
		if !tiers[c.Tier] {
			tiers[c.Tier] = true
			entitled.Floors = append(entitled.Floors, plan.Floor{Tier: c.Tier, Part: 0.03})
		}
		id := c.planID()
		if i, ok := index[id]; ok {
			plans.Plans[i].Targets[c.ID] = c.Target
			entitled.Entitlements[i].Classes = append(entitled.Entitlements[i].Classes, c.ID)
			continue
		}
		index[id] = len(plans.Plans)
		plans.Plans = append(plans.Plans, plan.Plan{ID: id, Tier: c.Tier, Targets: map[plan.ClassID]plan.Target{
			c.ID: c.Target, "commission": target(5*time.Second, 200*time.Millisecond),
		}})
		entitled.Entitlements = append(entitled.Entitlements, plan.Entitlement{
			Plan: id, Models: []plan.ModelID{p.Model}, Classes: []plan.ClassID{c.ID, "commission"},
			Services: []plan.ServiceID{"press"}, Share: 0.5,
		})
		for i := range p.AccountsPerPlan {
			account := AccountID(id, i)
			plans.Accounts = append(plans.Accounts, plan.Account{ID: account, Plan: id, KeyHashes: []string{HashKey(AccountKey(account))}})
		}
	}
	return plans, entitled
}

// Arrival is one request of a seeded sequence.
type Arrival struct {
	Offset       time.Duration
	Class        ClassLoad
	Account      plan.AccountID
	Prompt       string
	OutputTokens int
	// Entry picks the entry host.
	EntryIndex int
}

// Burst multiplies the rate of one class for a while.
type Burst struct {
	Class    plan.ClassID
	Start    time.Duration
	Duration time.Duration
	Factor   float64
}

// largePart is the part of requests that go to the first two accounts.
const largePart = 0.5

// Arrivals returns a seeded Poisson sequence of the given mean rate.
func (p Profile) Arrivals(seed uint64, perSecond float64, span time.Duration, burst Burst) []Arrival {
	random := rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))
	var out []Arrival
	for _, c := range p.Classes {
		for at := time.Duration(0); ; {
			rate := perSecond * c.Fraction
			if burst.Class == c.ID && at >= burst.Start && at < burst.Start+burst.Duration {
				rate *= burst.Factor
			}
			at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
			if at >= span {
				break
			}
			out = append(out, p.arrival(random, c, at, len(out)))
		}
	}
	sortArrivals(out)
	return out
}

func (p Profile) arrival(random *rand.Rand, c ClassLoad, at time.Duration, serial int) Arrival {
	account := random.IntN(p.AccountsPerPlan)
	if random.Float64() < largePart {
		account = random.IntN(2)
	}
	a := Arrival{Offset: at, Class: c, Account: AccountID(c.planID(), account), EntryIndex: random.IntN(1 << 16)}
	a.OutputTokens = drawLength(random, c.MeanOutputTokens, 4)
	a.Prompt = promptOf(a.Account, serial, drawLength(random, c.MeanPromptTokens, 8), c.SharedPromptFraction)
	return a
}

// drawLength draws from an exponential distribution, cut off at four times the
// mean.
func drawLength(random *rand.Rand, mean, least int) int {
	x := random.ExpFloat64() * float64(mean)
	return int(math.Min(math.Max(x, float64(least)), 4*float64(mean)))
}

// promptOf builds a prompt of the given number of tokens, whose first part is
// the same for all requests of the account.
func promptOf(account plan.AccountID, serial, tokens int, shared float64) string {
	const charsPerToken = 4
	size := tokens * charsPerToken
	common := fill("rules of "+string(account)+" ", int(shared*float64(size)))
	own := fill(fmt.Sprintf("request %d of %s ", serial, account), size-len(common))
	return common + own + fmt.Sprintf("#%d", serial)
}

func fill(text string, size int) string {
	out := make([]byte, 0, max(size, 0)+len(text))
	for len(out) < size {
		out = append(out, text...)
	}
	return string(out[:max(size, 0)])
}
