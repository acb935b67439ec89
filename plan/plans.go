package plan

import (
	"encoding/hex"
	"fmt"
)

// Plans is the list, written by operators, of the plans and of the accounts
// that subscribe to them.
type Plans struct {
	Version  Version   `json:"version"`
	Plans    []Plan    `json:"plans"`
	Accounts []Account `json:"accounts"`
}

// Plan is a service level that accounts subscribe to.
type Plan struct {
	// ID is unique in the list.
	ID PlanID `json:"id"`
	// Tier is in the range from HighestTier to LowestTier.
	Tier Tier `json:"tier"`
	// Targets holds the latency targets by request class.
	Targets map[ClassID]Target `json:"targets"`
}

// Target holds the latency targets for responses to requests of a class.
type Target struct {
	// FirstToken is the maximum time to the first token. It is above 0.
	FirstToken Duration `json:"first-token"`
	// BetweenTokens is the maximum mean time between tokens. It is above 0.
	BetweenTokens Duration `json:"between-tokens"`
}

// Account is a client account.
type Account struct {
	// ID is unique in the list.
	ID AccountID `json:"id"`
	// Plan is the ID of a plan in the same list.
	Plan PlanID `json:"plan"`
	// KeyHashes are the hexadecimal SHA-256 hashes of the account's API keys.
	// Each hash is unique in the list.
	KeyHashes []string `json:"key-hashes"`
}

// DecodePlans decodes and validates a list of plans.
func DecodePlans(raw []byte) (*Plans, error) {
	var p Plans
	if err := decode(KindPlans, raw, &p); err != nil {
		return nil, err
	}
	return &p, nil
}

func (p *Plans) validate(v *validator) {
	v.require(p.Version > 0, "a number above 0", "version", p.Version)
	planIDs := make(map[PlanID]bool, len(p.Plans))
	for i, plan := range p.Plans {
		path := fmt.Sprintf("plans[%d]", i)
		v.require(plan.ID != "" && !planIDs[plan.ID], "a non-empty name that is unique in the list", path+".id", plan.ID)
		v.require(plan.Tier >= HighestTier && plan.Tier <= LowestTier, "1 to 8", path+".tier", plan.Tier)
		for class, target := range plan.Targets {
			v.require(target.FirstToken > 0 && target.BetweenTokens > 0, "durations above 0", path+".targets", class)
		}
		planIDs[plan.ID] = true
	}
	p.validateAccounts(v, planIDs)
}

func (p *Plans) validateAccounts(v *validator, planIDs map[PlanID]bool) {
	seenIDs := make(map[AccountID]bool, len(p.Accounts))
	seenKeyHashes := make(map[string]bool, len(p.Accounts))
	for i, account := range p.Accounts {
		path := fmt.Sprintf("accounts[%d]", i)
		v.require(account.ID != "" && !seenIDs[account.ID], "a non-empty name that is unique in the list", path+".id", account.ID)
		v.require(planIDs[account.Plan], "a plan defined in this list", path+".plan", account.Plan)
		for _, keyHash := range account.KeyHashes {
			raw, err := hex.DecodeString(keyHash)
			v.require(err == nil && len(raw) == 32, "64 hexadecimal digits", path+".key-hashes", keyHash)
			v.require(!seenKeyHashes[keyHash], "a key hash that is unique in the list", path+".key-hashes", keyHash)
			seenKeyHashes[keyHash] = true
		}
		seenIDs[account.ID] = true
	}
}
