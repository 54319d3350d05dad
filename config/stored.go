package config

import (
	"encoding/json"

	"github.com/chestnutsail/chestnutsail/kv"
	"github.com/chestnutsail/chestnutsail/text"
)

// maxPreviousWrites is the number of earlier writes that are recorded in the stored text.
const maxPreviousWrites = 16

// restoredToken is the token of a text that was written back to a store that had lost it.
const restoredToken = "restored"

// writeID identifies the write of one accepted text. Token is random, so that a writer can
// distinguish its own write from others of the same revision.
type writeID struct {
	Revision uint64 `json:"revision"`
	Token    string `json:"token"`
}

// storedText is the value of Key in the store. Previous lists the writes before it, latest
// first. A writer that received no answer finds its own write there if it took effect and
// was replaced since.
type storedText struct {
	writeID
	Raw      []byte    `json:"raw"`
	Previous []writeID `json:"past,omitempty"`

	// version is the version of the key in the store, 0 if the key does not exist.
	version uint64
}

// includes reports whether the text was written by the write with the given token, or that
// write is among the previous ones.
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

// follows reports whether s still lists all writes since before. If so, a write that is not
// among them has not taken effect.
func (s storedText) follows(before storedText) bool {
	if before.version == 0 {
		return len(s.Previous) < maxPreviousWrites && s.Token != restoredToken
	}
	return s.includes(before.Token)
}

// successor returns the text to write in place of s, with s as its latest previous write.
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
