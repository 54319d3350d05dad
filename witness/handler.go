package witness

import (
	"io"
	"net/http"

	"github.com/chestnutsail/chestnutsail/board"
	"github.com/chestnutsail/chestnutsail/workflow"
)

// Path is the path of the calls between instances.
const Path = "/ends"

// maxMessage is the largest message in bytes that is read.
const maxMessage = 4 << 20

// message tells an instance of ends. It is encoded in CBOR.
type message struct {
	// Term is the term of the leader that knows the ends.
	Term uint64       `cbor:"t"`
	Ends []messageEnd `cbor:"e"`
}

type messageEnd struct {
	Job      string            `cbor:"j"`
	Progress workflow.Progress `cbor:"p"`
}

func newMessage(term uint64, ends []board.End) message {
	m := message{Term: term}
	for _, e := range ends {
		m.Ends = append(m.Ends, messageEnd(e))
	}
	return m
}

// ServeHTTP holds the ends that the leader tells. It answers 409 if this instance reaches the store
// or knows of a later leader.
func (w *Witness) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(io.LimitReader(r.Body, maxMessage))
	var m message
	if err == nil {
		err = workflow.Decode(raw, &m)
	}
	if err != nil {
		w.opts.Log.WithError(err).WithField("peer", r.RemoteAddr).Warn("witness: message not understood")
		http.Error(rw, "message not understood", http.StatusBadRequest)
		return
	}
	if _, newest := w.opts.Board.Leader(); w.opts.Reachable() || newest > m.Term {
		http.Error(rw, "the store is reachable, or there is a later leader", http.StatusConflict)
		return
	}
	w.hold(m.Term, m.finalEnds())
}

// finalEnds returns the ends of a message whose state is final.
func (m *message) finalEnds() []board.End {
	var ends []board.End
	for _, e := range m.Ends {
		if e.Progress.State.Final() {
			ends = append(ends, board.End(e))
		}
	}
	return ends
}
