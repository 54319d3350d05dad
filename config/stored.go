package config

import (
	"encoding/json"

	"github.com/chestnutsail/chestnutsail/kv"
	"github.com/chestnutsail/chestnutsail/text"
)

// maxPreviousWrites is the number of earlier writes that the stored value remembers.
const maxPreviousWrites = 16

// restoredToken is the token of a text that was written back into a store that lost it.
const restoredToken = "restored"

// writeID names one accepted text. Token tells a writer's own value from others'.
type writeID struct {
	Revision uint64 `json:"revision"`
	Token    string `json:"token"`
}

// storedText is the value under Key. Past names the writes before it, latest first, so
// that a writer whose answer was lost can tell whether its own was among them.
type storedText struct {
	writeID
	Raw      []byte    `json:"raw"`
	Previous []writeID `json:"past,omitempty"`

	// version is the store's version of the value, 0 when there is none.
	version uint64
}

// includes reports whether the value is or follows the write with the given token.
func (s storedText) includes(token string) bool {
	if s.Token == token {
		return true
	}
	for _, w := range s.Previous {
		if w.Token == token {
			return true
		}
	}
	return false
}

// follows reports whether the writes from before to s are all remembered.
func (s storedText) follows(before storedText) bool {
	if before.version == 0 {
		return len(s.Previous) < maxPreviousWrites && s.Token != restoredToken
	}
	return s.includes(before.Token)
}

// successor returns the value that replaces s.
func (s storedText) successor(w writeID, raw []byte) storedText {
	previous := s.Previous
	if s.Revision > 0 {
		previous = append([]writeID{s.writeID}, previous...)
	}
	return storedText{writeID: w, Raw: raw, Previous: previous[:min(len(previous), maxPreviousWrites)], version: s.version}
}

func (s storedText) snapshot() (Snapshot, error) {
	t, err := text.Parse(s.Raw)
	if err != nil {
		return Snapshot{}, err
	}
	return Snapshot{Revision: s.Revision, Raw: s.Raw, Text: t}, nil
}

func decode(e kv.Entry) (storedText, error) {
	s := storedText{version: e.Version}
	err := json.Unmarshal(e.Value, &s)
	return s, err
}
