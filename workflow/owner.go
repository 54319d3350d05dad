package workflow

// Owner is a client account in one queue. Calls to a public queue need no key, so everyone who knows the
// ID of a job there may access it.
type Owner struct {
	Queue   string `cbor:"q"`
	Account string `cbor:"a,omitempty"`
	Public  bool   `cbor:"p,omitempty"`
}

// Owns reports whether a job is in the queue and belongs to the account.
func (o Owner) Owns(r *Record) bool {
	return r.Queue == o.Queue && (o.Public || r.Account == o.Account)
}
