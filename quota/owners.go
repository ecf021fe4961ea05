package quota

import "hash/fnv"

// Owners selects the owner of each customer by rendezvous hashing: the live member with
// the highest hash for the customer. Members with the same view of the membership agree
// on the owner, and a member that joins or leaves moves only its own customers. Owners
// is immutable.
type Owners struct {
	ids    []string
	hashes []uint64
}

// NewOwners returns the Owners of the given live members.
func NewOwners(ids []string) *Owners {
	h := &Owners{ids: ids, hashes: make([]uint64, len(ids))}
	for i, id := range ids {
		h.hashes[i] = hashOf(id)
	}
	return h
}

// Of returns the owner of a customer and its deputy, the member with the second highest
// hash. Each is "" if there is no such member.
func (h *Owners) Of(customer string) (owner, deputy string) {
	customerHash := hashOf(customer)
	var first, second uint64
	for i, member := range h.hashes {
		rank := mix(customerHash, member)
		switch {
		case owner == "" || rank > first:
			deputy, second = owner, first
			owner, first = h.ids[i], rank
		case deputy == "" || rank > second:
			deputy, second = h.ids[i], rank
		}
	}
	return owner, deputy
}

func hashOf(s string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(s))
	return hash.Sum64()
}

// mix hashes two words with the finalizer of splitmix64.
func mix(a, b uint64) uint64 {
	x := a + b*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
