package peer

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Limits on the size of a frame and its parts.
const (
	maxFrameBytes = 1<<20 + 64<<10 // bytes
	maxHelloBytes = 16 << 10       // bytes
	maxStates     = 32
	maxTextBytes  = 256 // bytes; for a method, for an error, and for an entry's name, address and domain together
)

// frameKind is the purpose of a frame.
type frameKind uint8

const (
	// kindHello is the first frame on a connection in each direction. It carries a proof
	// that the sender knows the shared secret.
	kindHello frameKind = iota + 1
	// kindHeartbeat carries the sender's state first, then states of other entries that
	// the receiver does not have yet.
	kindHeartbeat
	// kindCall is a request. It is answered with kindAnswer, or with kindError if it failed.
	kindCall
	kindAnswer
	kindError
	// kindOneWay is a request without an answer.
	kindOneWay
)

var kindNames = map[frameKind]string{
	kindHello: "hello", kindHeartbeat: "beat", kindCall: "call",
	kindAnswer: "answer", kindError: "fault", kindOneWay: "cast",
}

// entryState is the state of one entry as sent in hello and heartbeat frames, by the
// entry itself or by another one.
type entryState struct {
	// Name is empty in the sender's own state.
	Name        string `cbor:"1,keyasint,omitempty"`
	Incarnation uint64 `cbor:"2,keyasint,omitempty"`
	Version     uint64 `cbor:"3,keyasint,omitempty"`
	// Address and Domain are omitted if they were already sent over the connection for
	// this incarnation.
	Address  string `cbor:"4,keyasint,omitempty"`
	Domain   string `cbor:"5,keyasint,omitempty"`
	Leaving  bool   `cbor:"6,keyasint,omitempty"`
	Gone     bool   `cbor:"7,keyasint,omitempty"`
	Revision uint64 `cbor:"8,keyasint,omitempty"`
	Leads    bool   `cbor:"9,keyasint,omitempty"`
	Term     int64  `cbor:"10,keyasint,omitempty"`
	InFlight int    `cbor:"11,keyasint,omitempty"`
	Queued   int    `cbor:"12,keyasint,omitempty"`
}

// frame is one message between two entries.
type frame struct {
	Kind   frameKind    `cbor:"1,keyasint"`
	ID     uint64       `cbor:"2,keyasint,omitempty"`
	Method string       `cbor:"3,keyasint,omitempty"`
	Body   []byte       `cbor:"4,keyasint,omitempty"`
	States []entryState `cbor:"5,keyasint,omitempty"`
	// Timeout is the time left until the caller's deadline, in milliseconds.
	Timeout int64  `cbor:"6,keyasint,omitempty"`
	Text    string `cbor:"7,keyasint,omitempty"`
}

var errMalformed = errors.New("malformed frame")

var (
	encoder = must(cbor.EncOptions{}.EncMode())
	decoder = must(cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		MaxNestedLevels: 4, MaxArrayElements: maxStates, MaxMapPairs: maxStates,
	}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// decode decodes a frame and validates its fields. Unknown fields, as added by later
// versions of the protocol, are ignored. Errors wrap errMalformed.
func decode(raw []byte) (frame, error) {
	var f frame
	if err := decoder.Unmarshal(raw, &f); err != nil {
		return frame{}, fmt.Errorf("%w: %w", errMalformed, err)
	}
	if kindNames[f.Kind] == "" || f.Timeout < 0 || len(f.Method) > maxTextBytes || len(f.Text) > maxTextBytes {
		return frame{}, errMalformed
	}
	for i, state := range f.States {
		if (state.Name == "") != (i == 0) || len(state.Name)+len(state.Address)+len(state.Domain) > maxTextBytes {
			return frame{}, errMalformed
		}
	}
	if (f.Kind == kindHello || f.Kind == kindHeartbeat) && len(f.States) == 0 {
		return frame{}, errMalformed
	}
	return f, nil
}
