package peer

import "errors"

// Decode exposes the frame decoder to the fuzz target.
func Decode(raw []byte) error {
	f, err := decode(raw)
	if err != nil {
		return err
	}
	again, err := encoder.Marshal(f)
	if err != nil {
		return err
	}
	if _, err := decode(again); err != nil {
		return errors.Join(ErrUnstable, err)
	}
	return nil
}

// ErrUnstable means that a decoded frame did not survive encoding and decoding.
var ErrUnstable = errors.New("peer: frame does not survive a round trip")

// Frames returns one valid frame of each kind.
func Frames() [][]byte {
	own := row{Version: 3, Incarnation: 7, Address: "127.0.0.1:1", Domain: "a"}
	other := row{Name: "e2", Version: 4, Incarnation: 8, Leads: true, Term: 5}
	var raw [][]byte
	for _, f := range []frame{
		{Kind: kindHello, Method: "e1", Body: []byte("proof"), Rows: []row{own}},
		{Kind: kindBeat, Rows: []row{own, other}},
		{Kind: kindCall, ID: 1, Method: "text", Timeout: 50},
		{Kind: kindAnswer, ID: 1, Body: []byte("body")},
		{Kind: kindFault, ID: 1, Text: "no such method"},
		{Kind: kindCast, Method: "hint", Body: []byte{1}},
	} {
		raw = append(raw, must(encoder.Marshal(f)))
	}
	return raw
}

// Neighbours exposes the form of the mesh.
func Neighbours(self Peer, others []Peer, full int) []string { return neighbours(self, others, full) }
