package peer_test

import (
	"errors"
	"testing"

	"github.com/chestnutsail/chestnutsail/peer"
)

func FuzzFrame(f *testing.F) {
	for _, raw := range peer.ValidFrames() {
		f.Add(raw)
		f.Add(raw[:len(raw)/2])
		f.Add(append([]byte{0xbf}, raw...))
		f.Add(append(raw[:len(raw):len(raw)], raw...))
	}
	f.Add([]byte{0xa1, 0x04, 0x5b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0xa1, 0x05, 0x9a, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, raw []byte) {
		if err := peer.Decode(raw); errors.Is(err, peer.ErrRoundTrip) {
			t.Fatal(err)
		}
	})
}
