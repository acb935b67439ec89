package gossip

import (
	"math/bits"
	"net/netip"

	"mulberrydyke/route"
)

// meanGroupSize is the number of hosts in a group on average, at the most. The
// hosts of a group report to each other directly.
const meanGroupSize = 16

// GroupID identifies a group of hosts within a failure domain. A host's group
// depends only on its address and on the number of hosts in its domain, so all
// hosts find the same groups. The ID is a 1 followed by the first bits of a hash of
// the address: splitting a group appends one bit to its ID.
type GroupID uint32

// maxGroupBits bounds the number of groups of a domain.
const maxGroupBits = 16

// groupBits returns the number of bits that tell apart the groups of a domain.
func groupBits(hosts int) int {
	n := 0
	for hosts > meanGroupSize<<n && n < maxGroupBits {
		n++
	}
	return n
}

// groupHash is the hash of a host's address that its group is taken from.
type groupHash uint64

func groupHashOf(a netip.Addr) groupHash { return groupHash(route.Hash("group", a.String())) }

// group returns the group in a domain whose groups are told apart by a number of
// bits.
func (h groupHash) group(groupBits int) GroupID { return GroupID(1<<groupBits | h>>(64-groupBits)) }

// overlaps reports whether two groups have hosts in common. Hosts that do not
// agree on the size of their domain may name different groups for the same hosts.
func (g GroupID) overlaps(o GroupID) bool {
	shift := bits.Len32(uint32(g)) - bits.Len32(uint32(o))
	if shift < 0 {
		return o.overlaps(g)
	}
	return g>>shift == o
}
