package plan

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"time"
)

// DefaultQuarantine is used where the entitlements give none.
const DefaultQuarantine = 10 * time.Minute

// defaultFloor is the part of a pool that a tier without a floor is given.
const defaultFloor = 0.01

// Versions are the versions of all lists in force.
type Versions struct {
	Plans        Version `json:"plans"`
	Entitlements Version `json:"entitlements"`
	Upstreams    Version `json:"upstreams"`
	Hosts        Version `json:"hosts"`
}

// Of returns the version of one kind.
func (v Versions) Of(kind ListKind) Version {
	switch kind {
	case KindPlans:
		return v.Plans
	case KindEntitlements:
		return v.Entitlements
	case KindUpstreams:
		return v.Upstreams
	case KindHosts:
		return v.Hosts
	}
	return 0
}

// State is the set of lists in force on one host. It never changes: With
// returns a new one. Versions in successive states never go back.
type State struct {
	Plans        *Plans
	Entitlements *Entitlements
	Upstreams    *Upstreams
	Hosts        *Hosts

	raw    map[ListKind][]byte
	byKey  map[string]*Account
	byID   map[AccountID]*Account
	plans  map[PlanID]*Plan
	uses   map[PlanID]*Entitlement
	floors map[Tier]float64
	// serving and upstreams index the upstreams, leaving ones included.
	serving   map[UpstreamGroup][]Upstream
	upstreams map[UpstreamID]Upstream
}

// Serving names what upstreams serve in one failure domain.
type UpstreamGroup struct {
	Domain DomainID
	Kind   UpstreamKind
	// Name is a model's or a service's name.
	Name string
}

// NewState returns a state with no list in force.
func NewState() *State {
	s := &State{
		Plans: &Plans{}, Entitlements: &Entitlements{}, Upstreams: &Upstreams{}, Hosts: &Hosts{},
		raw: map[ListKind][]byte{},
	}
	s.index()
	return s
}

// Versions returns the versions in force.
func (s *State) Versions() Versions {
	return Versions{
		Plans:        s.Plans.Version,
		Entitlements: s.Entitlements.Version,
		Upstreams:    s.Upstreams.Version,
		Hosts:        s.Hosts.Version,
	}
}

// Raw returns the bytes of the list in force, or nil.
func (s *State) Raw(kind ListKind) []byte { return s.raw[kind] }

// With returns a state in which raw is in force. It fails with a DecodeError
// or ValueError for a bad list and with an OldVersionError for one that is not
// newer; s then stays in force.
func (s *State) WithList(kind ListKind, raw []byte) (*State, error) {
	next := *s
	var version Version
	var err error
	switch kind {
	case KindPlans:
		next.Plans, err = DecodePlans(raw)
	case KindEntitlements:
		next.Entitlements, err = DecodeEntitlements(raw)
	case KindUpstreams:
		next.Upstreams, err = DecodeUpstreams(raw)
	case KindHosts:
		next.Hosts, err = DecodeHosts(raw)
	default:
		err = &ValueError{Field: "kind", Value: string(kind), Want: "a published list"}
	}
	if err != nil {
		return nil, err
	}
	version = next.Versions().Of(kind)
	if inForce := s.Versions().Of(kind); version <= inForce {
		conflict := version == inForce && !bytes.Equal(raw, s.raw[kind])
		return nil, &OldVersionError{Kind: kind, Current: inForce, Offered: version, Conflict: conflict}
	}
	next.raw = map[ListKind][]byte{kind: raw}
	for k, v := range s.raw {
		if k != kind {
			next.raw[k] = v
		}
	}
	next.index()
	return &next, nil
}

func (s *State) index() {
	s.byKey = make(map[string]*Account, len(s.Plans.Accounts))
	s.byID = make(map[AccountID]*Account, len(s.Plans.Accounts))
	for i := range s.Plans.Accounts {
		a := &s.Plans.Accounts[i]
		s.byID[a.ID] = a
		for _, sum := range a.KeyHashes {
			s.byKey[sum] = a
		}
	}
	s.plans = make(map[PlanID]*Plan, len(s.Plans.Plans))
	for i := range s.Plans.Plans {
		s.plans[s.Plans.Plans[i].ID] = &s.Plans.Plans[i]
	}
	s.uses = make(map[PlanID]*Entitlement, len(s.Entitlements.Entitlements))
	for i := range s.Entitlements.Entitlements {
		s.uses[s.Entitlements.Entitlements[i].Plan] = &s.Entitlements.Entitlements[i]
	}
	s.floors = make(map[Tier]float64, len(s.Entitlements.Floors))
	for _, f := range s.Entitlements.Floors {
		s.floors[f.Tier] = f.Fraction
	}
	s.indexUpstreams()
}

func (s *State) indexUpstreams() {
	s.serving = map[UpstreamGroup][]Upstream{}
	s.upstreams = make(map[UpstreamID]Upstream, len(s.Upstreams.Upstreams))
	for _, u := range s.Upstreams.Upstreams {
		s.upstreams[u.ID] = u
		names := []string{string(u.Service)}
		if u.Kind == Engine {
			names = names[:0]
			for _, m := range u.Models {
				names = append(names, string(m))
			}
		}
		for _, name := range names {
			key := UpstreamGroup{Domain: u.Domain, Kind: u.Kind, Name: name}
			s.serving[key] = append(s.serving[key], u)
		}
	}
}

// UpstreamsServing returns the upstreams that serve something, leaving ones
// included. The caller must not change them.
func (s *State) UpstreamsIn(what UpstreamGroup) []Upstream { return s.serving[what] }

// TakesWork says whether an upstream is listed as live.
func (s *State) IsLive(id UpstreamID) bool { return s.upstreams[id].State == Live }

// Holder is an account with all that its plan gives it.
type Holder struct {
	Account     *Account
	Plan        *Plan
	Entitlement *Entitlement
}

// Holder returns the account that owns key. It returns false where no account
// does or where its plan is entitled to nothing.
func (s *State) HolderByKey(key string) (Holder, bool) {
	sum := sha256.Sum256([]byte(key))
	a, ok := s.byKey[hex.EncodeToString(sum[:])]
	if !ok {
		return Holder{}, false
	}
	return s.HolderByID(a.ID)
}

// MayUseModel says whether the account may ask for the model.
func (h Holder) MayUseModel(id ModelID) bool { return slices.Contains(h.Entitlement.Models, id) }

// MayUseClass says whether the account may send requests of the class.
func (h Holder) MayUseClass(id ClassID) bool { return slices.Contains(h.Entitlement.Classes, id) }

// MayUseService says whether the account may call the plain service.
func (h Holder) MayUseService(id ServiceID) bool { return slices.Contains(h.Entitlement.Services, id) }

// Class returns a class of request, and false where the list has none.
func (s *State) Class(id ClassID) (Class, bool) {
	i := slices.IndexFunc(s.Entitlements.Classes, func(c Class) bool { return c.ID == id })
	if i < 0 {
		return Class{}, false
	}
	return s.Entitlements.Classes[i], true
}

// Call returns the call of a service that a method and path name. It returns
// false where the list has none.
func (s *State) Endpoint(id ServiceID, method, path string) (Endpoint, bool) {
	for _, service := range s.Entitlements.Services {
		if service.ID != id {
			continue
		}
		for _, call := range service.Endpoints {
			if call.Method == method && matches(call.Path, path) {
				return call, true
			}
		}
	}
	return Endpoint{}, false
}

func matches(pattern, path string) bool {
	if prefix, ok := strings.CutSuffix(pattern, "*"); ok {
		return strings.HasPrefix(path, prefix)
	}
	return pattern == path
}

// FloorOf returns the part of every pool's capacity that a tier is always given.
func (s *State) FloorFraction(t Tier) float64 {
	if part, ok := s.floors[t]; ok {
		return part
	}
	return defaultFloor
}

// QuarantineFor returns how long a request that crashed two upstreams is refused.
func (s *State) QuarantineDuration() time.Duration {
	if s.Entitlements.Quarantine > 0 {
		return s.Entitlements.Quarantine.Std()
	}
	return DefaultQuarantine
}

// HolderOf returns an account with all that its plan gives it. It returns
// false where the lists in force have no such account, or its plan is entitled
// to nothing.
func (s *State) HolderByID(id AccountID) (Holder, bool) {
	a, ok := s.byID[id]
	if !ok {
		return Holder{}, false
	}
	h := Holder{Account: a, Plan: s.plans[a.Plan], Entitlement: s.uses[a.Plan]}
	return h, h.Plan != nil && h.Entitlement != nil
}
