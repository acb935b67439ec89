package plan

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"time"
)

// DefaultQuarantine is how long a request that crashed two upstreams is refused
// if the entitlements set no duration.
const DefaultQuarantine = 10 * time.Minute

// defaultFloorFraction is the fraction of a pool's capacity that is guaranteed
// to a tier without a floor.
const defaultFloorFraction = 0.01

// Versions holds the version of each list in force.
type Versions struct {
	Plans        Version `json:"plans"`
	Entitlements Version `json:"entitlements"`
	Upstreams    Version `json:"upstreams"`
	Hosts        Version `json:"hosts"`
}

// Of returns the version of the list of the given kind.
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

// State is the set of lists in force on a host. It is immutable: WithList
// returns a new State, in which the version of a list never decreases.
type State struct {
	Plans        *Plans
	Entitlements *Entitlements
	Upstreams    *Upstreams
	Hosts        *Hosts

	raw                map[ListKind][]byte
	accountsByKeyHash  map[string]*Account
	accountsByID       map[AccountID]*Account
	plansByID          map[PlanID]*Plan
	entitlementsByPlan map[PlanID]*Entitlement
	floorsByTier       map[Tier]float64
	// upstreamsByPool and upstreamsByID include leaving upstreams.
	upstreamsByPool map[PoolKey][]Upstream
	upstreamsByID   map[UpstreamID]Upstream
}

// PoolKey identifies a pool: the upstreams in one failure domain that serve the
// same model or service.
type PoolKey struct {
	Domain DomainID
	Kind   UpstreamKind
	// Name is the ID of the model or service.
	Name string
}

// NewState returns a State in which every list is empty and has version 0.
func NewState() *State {
	s := &State{
		Plans: &Plans{}, Entitlements: &Entitlements{}, Upstreams: &Upstreams{}, Hosts: &Hosts{},
		raw: map[ListKind][]byte{},
	}
	s.buildIndexes()
	return s
}

// Versions returns the versions of the lists in force.
func (s *State) Versions() Versions {
	return Versions{
		Plans:        s.Plans.Version,
		Entitlements: s.Entitlements.Version,
		Upstreams:    s.Upstreams.Version,
		Hosts:        s.Hosts.Version,
	}
}

// Raw returns the encoded list of the given kind that is in force, or nil if
// there is none.
func (s *State) Raw(kind ListKind) []byte { return s.raw[kind] }

// WithList returns a copy of s in which the list of the given kind is replaced
// by raw. It returns a DecodeError or ValueError if the list is invalid, and an
// OldVersionError if its version is not newer than the one in force. It does
// not modify s.
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
		err = &ValueError{Field: "kind", Value: string(kind), Want: "the name of a published list"}
	}
	if err != nil {
		return nil, err
	}
	version = next.Versions().Of(kind)
	if current := s.Versions().Of(kind); version <= current {
		conflict := version == current && !bytes.Equal(raw, s.raw[kind])
		return nil, &OldVersionError{Kind: kind, Current: current, Offered: version, Conflict: conflict}
	}
	next.raw = map[ListKind][]byte{kind: raw}
	for k, v := range s.raw {
		if k != kind {
			next.raw[k] = v
		}
	}
	next.buildIndexes()
	return &next, nil
}

// buildIndexes rebuilds the lookup maps from the lists.
func (s *State) buildIndexes() {
	s.accountsByKeyHash = make(map[string]*Account, len(s.Plans.Accounts))
	s.accountsByID = make(map[AccountID]*Account, len(s.Plans.Accounts))
	for i := range s.Plans.Accounts {
		account := &s.Plans.Accounts[i]
		s.accountsByID[account.ID] = account
		for _, keyHash := range account.KeyHashes {
			s.accountsByKeyHash[keyHash] = account
		}
	}
	s.plansByID = make(map[PlanID]*Plan, len(s.Plans.Plans))
	for i := range s.Plans.Plans {
		s.plansByID[s.Plans.Plans[i].ID] = &s.Plans.Plans[i]
	}
	s.entitlementsByPlan = make(map[PlanID]*Entitlement, len(s.Entitlements.Entitlements))
	for i := range s.Entitlements.Entitlements {
		s.entitlementsByPlan[s.Entitlements.Entitlements[i].Plan] = &s.Entitlements.Entitlements[i]
	}
	s.floorsByTier = make(map[Tier]float64, len(s.Entitlements.Floors))
	for _, floor := range s.Entitlements.Floors {
		s.floorsByTier[floor.Tier] = floor.Fraction
	}
	s.buildUpstreamIndexes()
}

func (s *State) buildUpstreamIndexes() {
	s.upstreamsByPool = map[PoolKey][]Upstream{}
	s.upstreamsByID = make(map[UpstreamID]Upstream, len(s.Upstreams.Upstreams))
	for _, upstream := range s.Upstreams.Upstreams {
		s.upstreamsByID[upstream.ID] = upstream
		names := []string{string(upstream.Service)}
		if upstream.Kind == Engine {
			names = names[:0]
			for _, model := range upstream.Models {
				names = append(names, string(model))
			}
		}
		for _, name := range names {
			key := PoolKey{Domain: upstream.Domain, Kind: upstream.Kind, Name: name}
			s.upstreamsByPool[key] = append(s.upstreamsByPool[key], upstream)
		}
	}
}

// UpstreamsIn returns the upstreams of a pool, including leaving ones. The
// caller must not modify the slice.
func (s *State) UpstreamsIn(key PoolKey) []Upstream { return s.upstreamsByPool[key] }

// IsLive reports whether the upstream is listed as live.
func (s *State) IsLive(id UpstreamID) bool { return s.upstreamsByID[id].State == Live }

// Holder combines an account with its plan and entitlement.
type Holder struct {
	Account     *Account
	Plan        *Plan
	Entitlement *Entitlement
}

// HolderByKey returns the account with the given API key. It returns false if no
// account has the key, or if the account's plan has no entitlement.
func (s *State) HolderByKey(key string) (Holder, bool) {
	sum := sha256.Sum256([]byte(key))
	account, ok := s.accountsByKeyHash[hex.EncodeToString(sum[:])]
	if !ok {
		return Holder{}, false
	}
	return s.HolderByID(account.ID)
}

// MayUseModel reports whether the account may use the model.
func (h Holder) MayUseModel(id ModelID) bool { return slices.Contains(h.Entitlement.Models, id) }

// MayUseClass reports whether the account may send requests of the class.
func (h Holder) MayUseClass(id ClassID) bool { return slices.Contains(h.Entitlement.Classes, id) }

// MayUseService reports whether the account may call the plain service.
func (h Holder) MayUseService(id ServiceID) bool { return slices.Contains(h.Entitlement.Services, id) }

// Class returns the request class with the given ID. It returns false if there
// is none.
func (s *State) Class(id ClassID) (Class, bool) {
	i := slices.IndexFunc(s.Entitlements.Classes, func(c Class) bool { return c.ID == id })
	if i < 0 {
		return Class{}, false
	}
	return s.Entitlements.Classes[i], true
}

// Endpoint returns the endpoint of a service that matches method and path. It
// returns false if there is none.
func (s *State) Endpoint(id ServiceID, method, path string) (Endpoint, bool) {
	for _, service := range s.Entitlements.Services {
		if service.ID != id {
			continue
		}
		for _, endpoint := range service.Endpoints {
			if endpoint.Method == method && matchesPath(endpoint.Path, path) {
				return endpoint, true
			}
		}
	}
	return Endpoint{}, false
}

// matchesPath reports whether path matches pattern, in which a final "*" matches
// any suffix.
func matchesPath(pattern, path string) bool {
	if prefix, ok := strings.CutSuffix(pattern, "*"); ok {
		return strings.HasPrefix(path, prefix)
	}
	return pattern == path
}

// FloorFraction returns the fraction of every pool's capacity that is guaranteed
// to a tier.
func (s *State) FloorFraction(tier Tier) float64 {
	if fraction, ok := s.floorsByTier[tier]; ok {
		return fraction
	}
	return defaultFloorFraction
}

// QuarantineDuration returns how long a request that crashed two upstreams is
// refused.
func (s *State) QuarantineDuration() time.Duration {
	if s.Entitlements.Quarantine > 0 {
		return s.Entitlements.Quarantine.Std()
	}
	return DefaultQuarantine
}

// HolderByID returns the account with the given ID. It returns false if there is
// no such account, or if its plan has no entitlement.
func (s *State) HolderByID(id AccountID) (Holder, bool) {
	account, ok := s.accountsByID[id]
	if !ok {
		return Holder{}, false
	}
	holder := Holder{Account: account, Plan: s.plansByID[account.Plan], Entitlement: s.entitlementsByPlan[account.Plan]}
	return holder, holder.Plan != nil && holder.Entitlement != nil
}
