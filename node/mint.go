package node

import (
	"crypto/rand"
	"encoding/json"
	"net/http"

	"pollengauge.dev/atmostonce"
	"pollengauge.dev/call"
)

// serveMint returns a new key to a caller, which then sends its request with it. The
// key names this node as its owner.
func (n *Node) serveMint(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		w.WriteHeader(http.StatusMethodNotAllowed)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	_ = json.NewEncoder(w).Encode(KeyResponse{Key: n.mint()})
}

// mint returns a new key. A draining node mints keys that another member owns, because
// its own table is about to be handed over.
func (n *Node) mint() string {
	if n.draining.Load() {
		if peer, ok := n.otherMember(); ok {
			return atmostonce.Mint(n.settings.Service, atmostonce.Incarnation(peer.ID), n.keys.Now(), rand.Reader).String()
		}
	}
	return n.keys.Mint().String()
}

// childKey returns the key of a call that the upstream makes with a key of its own. The
// returned key is bound to this node's incarnation, so that the call can't run twice if
// the upstream repeats it or the parent call is repeated.
func (n *Node) childKey(v *visit, service, own string) string {
	if own == "" || !call.ValidToken(own, call.MaxKeyLength) {
		return ""
	}
	id := v.children.Child(service, own)
	return atmostonce.MintChild(n.settings.Service, atmostonce.Incarnation(n.id), v.started, id).String()
}
