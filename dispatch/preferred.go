package dispatch

import "mulberrydyke/route"

// maxPreferredEngines is the number of engines that may hold the parts of one
// prefix in their caches.
const maxPreferredEngines = 3

// preferredEngines returns the indexes of the targets that should run prompts of
// a class with a shared prefix, the first choice first. It uses weighted rendezvous
// hashing over the targets that serve the class; slow ones have less weight.
func (g *targetGroup) preferredEngines(prefixID string, class Class) []int {
	var best [maxPreferredEngines]int
	var hashes [maxPreferredEngines]uint64
	n := 0
	for i, t := range g.targets {
		if !t.usable || t.servesLong != (class == ClassLong) {
			continue
		}
		h := t.learned.class.current.weigh(route.Hash(prefixID, string(t.upstream.ID)))
		pos := n
		for pos > 0 && h > hashes[pos-1] {
			pos--
		}
		if pos == maxPreferredEngines {
			continue
		}
		n = min(maxPreferredEngines, n+1)
		copy(best[pos+1:n], best[pos:n-1])
		copy(hashes[pos+1:n], hashes[pos:n-1])
		best[pos], hashes[pos] = i, h
	}
	return best[:n:n]
}
