package quarantine

import "hash/fnv"

// TrialMember selects the member that runs the trial of a request whose quarantine time
// is over. All members with the same view of the membership select the same one, so
// that the fleet runs one trial rather than one per member. Different requests are
// assigned to different members. It returns "" if there are no members.
func TrialMember(members []string, f Fingerprint) string {
	var chosen string
	var highest uint64
	for _, member := range members {
		rank := custodianRank(member, f)
		if chosen == "" || rank > highest || rank == highest && member < chosen {
			chosen, highest = member, rank
		}
	}
	return chosen
}

func custodianRank(member string, f Fingerprint) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(member))
	return mix(hash.Sum64() ^ mix(uint64(f)))
}

// mix spreads each bit of x over all bits (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
