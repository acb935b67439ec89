package gossip

import "time"

// Role is the part that a host has in the exchange of reports. Each role includes
// the ones before it.
type Role int

const (
	// RoleMember reports to the hosts of its group.
	RoleMember Role = iota
	// RoleSpeaker also exchanges reports with the speakers of the other groups of
	// its domain.
	RoleSpeaker
	// RoleReporter also exchanges reports with the reporters of other domains, and
	// reads the platform's store.
	RoleReporter
)

// Role returns the role of this host.
func (m *Members) Role(now time.Time) Role {
	if m.countBefore(m.liveInGroup(now)) >= speakersPerGroup {
		return RoleMember
	}
	if m.reporterRank(now) >= reportersPerDomain {
		return RoleSpeaker
	}
	return RoleReporter
}

// reporterRank returns how many hosts of the domain come before this one as
// reporters.
func (m *Members) reporterRank(now time.Time) int {
	inGroup := m.inGroup()
	return m.countBefore(m.selectMembers(func(x *member) bool {
		return x.domain == m.domain && x.live(now) && (x.role >= RoleSpeaker || inGroup(x))
	}))
}
