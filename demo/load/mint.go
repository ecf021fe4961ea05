package load

import "encoding/json"

// minted is the response body of a mint request at an edge.
type minted struct {
	Key string `json:"key"`
}

func mintedKey(body []byte) (string, error) {
	var m minted
	if err := json.Unmarshal(body, &m); err != nil {
		return "", &KeyError{Err: err}
	}
	return m.Key, nil
}
