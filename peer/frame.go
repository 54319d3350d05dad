package peer

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Limits of a frame.
const (
	maxFrame = 1<<20 + 64<<10 // bytes
	maxHello = 16 << 10       // bytes
	maxRows  = 32
	maxText  = 256 // bytes of a name, an address, a method or an error
)

// kind says what a frame is for.
type kind uint8

const (
	// kindHello opens a connection with a proof of the shared secret.
	kindHello kind = iota + 1
	// kindBeat is a heartbeat: the sender's row first, then news of others.
	kindBeat
	// kindCall asks for an answer, kindAnswer and kindFault give one.
	kindCall
	kindAnswer
	kindFault
	// kindCast is a call that wants no answer.
	kindCast
)

var kindNames = map[kind]string{
	kindHello: "hello", kindBeat: "beat", kindCall: "call",
	kindAnswer: "answer", kindFault: "fault", kindCast: "cast",
}

// row is what one entry tells of itself or of another.
type row struct {
	// Name is empty in the sender's own row.
	Name        string `cbor:"1,keyasint,omitempty"`
	Incarnation uint64 `cbor:"2,keyasint,omitempty"`
	Version     uint64 `cbor:"3,keyasint,omitempty"`
	// Address and Domain are left out when they were told before.
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
	Kind   kind   `cbor:"1,keyasint"`
	ID     uint64 `cbor:"2,keyasint,omitempty"`
	Method string `cbor:"3,keyasint,omitempty"`
	Body   []byte `cbor:"4,keyasint,omitempty"`
	Rows   []row  `cbor:"5,keyasint,omitempty"`
	// Timeout is what is left of the caller's time in milliseconds.
	Timeout int64  `cbor:"6,keyasint,omitempty"`
	Text    string `cbor:"7,keyasint,omitempty"`
}

var errFrame = errors.New("malformed frame")

var (
	encoder = must(cbor.EncOptions{}.EncMode())
	decoder = must(cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		MaxNestedLevels: 4, MaxArrayElements: maxRows, MaxMapPairs: maxRows,
	}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// decode reads a frame and checks that its fields make sense together. Fields that
// a later version has added are passed over.
func decode(raw []byte) (frame, error) {
	var f frame
	if err := decoder.Unmarshal(raw, &f); err != nil {
		return frame{}, fmt.Errorf("%w: %w", errFrame, err)
	}
	if kindNames[f.Kind] == "" || f.Timeout < 0 || len(f.Method) > maxText || len(f.Text) > maxText {
		return frame{}, errFrame
	}
	for i, r := range f.Rows {
		if (r.Name == "") != (i == 0) || len(r.Name)+len(r.Address)+len(r.Domain) > maxText {
			return frame{}, errFrame
		}
	}
	if (f.Kind == kindHello || f.Kind == kindBeat) && len(f.Rows) == 0 {
		return frame{}, errFrame
	}
	return f, nil
}
