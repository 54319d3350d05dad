package peer

import "errors"

// Decode decodes a frame, encodes it and decodes the result. It returns ErrRoundTrip if
// the second decoding fails.
func Decode(raw []byte) error {
	f, err := decode(raw)
	if err != nil {
		return err
	}
	encoded, err := encoder.Marshal(f)
	if err != nil {
		return err
	}
	if _, err := decode(encoded); err != nil {
		return errors.Join(ErrRoundTrip, err)
	}
	return nil
}

// ErrRoundTrip means that a valid frame could not be decoded after encoding it again.
var ErrRoundTrip = errors.New("peer: frame does not survive a round trip")

// ValidFrames returns one encoded frame of each kind.
func ValidFrames() [][]byte {
	own := entryState{Version: 3, Incarnation: 7, Address: "127.0.0.1:1", Domain: "a"}
	other := entryState{Name: "e2", Version: 4, Incarnation: 8, Leads: true, Term: 5}
	var raw [][]byte
	for _, f := range []frame{
		{Kind: kindHello, Method: "e1", Body: []byte("proof"), States: []entryState{own}},
		{Kind: kindHeartbeat, States: []entryState{own, other}},
		{Kind: kindCall, ID: 1, Method: "text", Timeout: 50},
		{Kind: kindAnswer, ID: 1, Body: []byte("body")},
		{Kind: kindError, ID: 1, Text: "no such method"},
		{Kind: kindOneWay, Method: "hint", Body: []byte{1}},
	} {
		raw = append(raw, must(encoder.Marshal(f)))
	}
	return raw
}

// Neighbours exports neighbours for tests.
func Neighbours(self Peer, others []Peer, fullMeshLimit int) []string {
	return neighbours(self, others, fullMeshLimit)
}

// MergeFrom merges states of one version of an entry, in the order given, as if they had been received over one
// connection. A state whose address is empty omits what was sent over the connection before.
func (m *Mesh) MergeFrom(p Peer, addresses ...string) {
	l := &link{
		mesh: m, name: p.Name, incarnation: p.Incarnation, ctx: m.ctx,
		sentIncarnation: make(map[string]uint64), seenVersions: make(map[string]stateVersion),
	}
	for _, address := range addresses {
		state := entryState{Incarnation: p.Incarnation, Version: 1, Address: address}
		if address != "" {
			state.Domain = p.Domain
		}
		m.mergeStates(l, []entryState{state})
	}
}
