package plan

import (
	"encoding/hex"
	"fmt"
)

// Plans is the operators' first list: the plans and the accounts that hold them.
type Plans struct {
	Version  Version   `json:"version"`
	Plans    []Plan    `json:"plans"`
	Accounts []Account `json:"accounts"`
}

// Plan is one level of service.
type Plan struct {
	// ID is unique in the list.
	ID PlanID `json:"id"`
	// Tier lies between HighestTier and LowestTier.
	Tier Tier `json:"tier"`
	// Targets gives the latency targets by class of request.
	Targets map[ClassID]Target `json:"targets"`
}

// Target is what the users of a class expect of an answer's timing.
type Target struct {
	// FirstToken is the longest wait for the first token. Above zero.
	FirstToken Duration `json:"first-token"`
	// BetweenTokens is the longest mean gap between tokens. Above zero.
	BetweenTokens Duration `json:"between-tokens"`
}

// Account is one customer.
type Account struct {
	// ID is unique in the list.
	ID AccountID `json:"id"`
	// Plan names a plan of the same list.
	Plan PlanID `json:"plan"`
	// KeyHashes are the hexadecimal SHA-256 sums of the account's keys. Each is
	// unique in the list.
	KeyHashes []string `json:"key-hashes"`
}

// DecodePlans reads and checks a list of plans.
func DecodePlans(raw []byte) (*Plans, error) {
	var p Plans
	if err := decode(KindPlans, raw, &p); err != nil {
		return nil, err
	}
	return &p, nil
}

func (p *Plans) check(c *check) {
	c.that(p.Version > 0, "a number above 0", "version", p.Version)
	ids := make(map[PlanID]bool, len(p.Plans))
	for i, pl := range p.Plans {
		at := fmt.Sprintf("plans[%d]", i)
		c.that(pl.ID != "" && !ids[pl.ID], "a unique name", at+".id", pl.ID)
		c.that(pl.Tier >= HighestTier && pl.Tier <= LowestTier, "1 to 8", at+".tier", pl.Tier)
		for class, t := range pl.Targets {
			c.that(t.FirstToken > 0 && t.BetweenTokens > 0, "spans above 0", at+".targets", class)
		}
		ids[pl.ID] = true
	}
	p.checkAccounts(c, ids)
}

func (p *Plans) checkAccounts(c *check, plans map[PlanID]bool) {
	ids := make(map[AccountID]bool, len(p.Accounts))
	keys := make(map[string]bool, len(p.Accounts))
	for i, a := range p.Accounts {
		at := fmt.Sprintf("accounts[%d]", i)
		c.that(a.ID != "" && !ids[a.ID], "a unique name", at+".id", a.ID)
		c.that(plans[a.Plan], "a plan of this list", at+".plan", a.Plan)
		for _, sum := range a.KeyHashes {
			raw, err := hex.DecodeString(sum)
			c.that(err == nil && len(raw) == 32, "64 hexadecimal digits", at+".key-hashes", sum)
			c.that(!keys[sum], "a key of one account only", at+".key-hashes", sum)
			keys[sum] = true
		}
		ids[a.ID] = true
	}
}
