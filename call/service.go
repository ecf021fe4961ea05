package call

import (
	"hash/fnv"
	"strconv"
	"strings"
)

// MaxServiceToken is the longest ServiceToken, in bytes.
const MaxServiceToken = 63

// ServiceToken returns the form of a service name that is sent between nodes, as the
// Host of a call and in the membership: 1 to 63 letters, digits and -._~. A name of
// this form is its own token. The token of any other name is made of the name's
// permitted characters and a hash of the complete name, so that equal names have equal
// tokens at every node. The token of "" is "".
func ServiceToken(name string) string {
	if name == "" || isServiceToken(name) {
		return name
	}
	const mark, hex, digits = "~~", 16, 16
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name))
	sum := strconv.FormatUint(hash.Sum64(), hex)
	tail := mark + strings.Repeat("0", digits-len(sum)) + sum
	usable := strings.Map(func(r rune) rune {
		if isUnreserved(r) {
			return r
		}
		return '-'
	}, name)
	return usable[:min(len(usable), MaxServiceToken-len(tail))] + tail
}

func isServiceToken(s string) bool {
	return len(s) <= MaxServiceToken && !strings.ContainsFunc(s, func(r rune) bool { return !isUnreserved(r) })
}

// isUnreserved reports whether r may occur unescaped in a Host (RFC 3986, 2.3).
func isUnreserved(r rune) bool {
	letter := (r|0x20) >= 'a' && (r|0x20) <= 'z'
	return letter || (r >= '0' && r <= '9') || strings.ContainsRune("-._~", r)
}
