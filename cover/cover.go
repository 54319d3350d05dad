// Package cover decides which work of the client accounts is covered by their guarantees. Work that is covered may evict
// other work and is not evicted itself, so no account may have more of it than it is guaranteed, whatever its jobs ask
// for.
//
// # Usage
//
//	c := cover.New(func(account string) int { return cfg.Account(account).Guaranteed })
//	for _, j := range jobs { // in the order in which they are served
//		share := c.Share(j.Account, j.Need)
//		for _, w := range j.Work {
//			w.Guaranteed = share.Take(w.Accels)
//		}
//	}
package cover

// Cover is what is left of the accounts' guarantees. It is not safe for concurrent use.
type Cover struct {
	guaranteed func(account string) int
	used       map[string]int
}

// New returns a Cover of which nothing is used. guaranteed returns the number of accelerators that an account is
// guaranteed.
func New(guaranteed func(account string) int) *Cover {
	return &Cover{guaranteed: guaranteed, used: make(map[string]int)}
}

// Share is the part of a guarantee that one job uses. A nil Share covers nothing.
type Share struct{ left int }

// Share takes the number of accelerators that a job needs at a time, which must not be negative, from the guarantee of
// its account. It returns nil if not as many are left.
func (c *Cover) Share(account string, need int) *Share {
	if need > c.guaranteed(account)-c.used[account] {
		return nil
	}
	c.used[account] += need
	return &Share{left: need}
}

// Take reports whether work with a number of accelerators is covered, and takes them from the share if so.
func (s *Share) Take(accels int) bool {
	if s == nil || accels > s.left {
		return false
	}
	s.left -= accels
	return true
}
