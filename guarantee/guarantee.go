// Package guarantee decides whether the guarantees of all client accounts can be met at
// the same time, and assigns their cells to failure domains. A guarantee is met if its
// cells can be formed.
//
// # Usage
//
//	if err := guarantee.Check(t.Fleet, t.Accounts); err != nil {
//		// err is a *guarantee.Error that describes the guarantee that cannot be met
//	}
//	cells, _ := guarantee.Assign(t.Fleet, t.Accounts)
//	mine := cells["domain-a"]
package guarantee

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/chestnutsail/chestnutsail/cell"
	"github.com/chestnutsail/chestnutsail/text"
)

// Cell is one cell that is guaranteed to an account in one failure domain.
type Cell struct {
	Account string `json:"account"`
	// Accels is the size of the cell in accelerators, a power of two.
	Accels int `json:"accels"`
}

// Error describes a guarantee whose cells cannot all be formed.
type Error struct {
	Account string
	// Index is the position of the guarantee in the account's list, counted from 0.
	Index int
	// Domain is the failure domain that the guarantee names, or "" for any.
	Domain string
	// Accels is the size of one cell after rounding up, and Count the number of cells
	// that the guarantee names.
	Accels int
	Count  int
	// Formed is the number of these cells that can be formed in addition to those of
	// the other guarantees. Free is the number of accelerators that are left in the
	// domain, in smaller cells.
	Formed int
	Free   int
	// Total is the number of accelerators in the domain or, if Domain is "", in all
	// domains.
	Total int
}

// Error describes the guarantee and the numbers that make it impossible.
func (e *Error) Error() string {
	place := "any domain"
	if e.Domain != "" {
		place = "domain " + e.Domain
	}
	return fmt.Sprintf("account %s: guarantee %d: %d x %d accelerators = %d cannot be formed in %s: only %d of %d cells can beside the other guarantees; %d of %d accelerators are left, in smaller cells",
		e.Account, e.Index+1, e.Count, e.Accels, e.Count*e.Accels, place, e.Formed, e.Count, e.Free, e.Total)
}

// Check returns an *Error for the first guarantee that cannot be met together with the
// others, or nil. Larger cells are formed before smaller ones, and among cells of the
// same size those of guarantees that name a domain are formed first.
func Check(fleet []text.Pool, accounts []text.Account) error {
	if _, err := Assign(fleet, accounts); err != nil {
		return err
	}
	return nil
}

type accountGuarantee struct {
	account string
	index   int
	text.Guarantee
}

// Assign returns, by failure domain, the cells that are guaranteed to the accounts. The
// result is the same on every instance for the same text. If Assign returns an *Error,
// the cells include those that cannot be formed. Each of these is assigned to the domain
// that its guarantee names. If it names none, the domain is the one that could form the
// most cells of this size.
func Assign(fleet []text.Pool, accounts []text.Account) (map[string][]Cell, error) {
	free, domains := domainCells(fleet)
	total := make(map[string]int)
	for _, d := range domains {
		total[d] = free[d].Sum()
		total[""] += total[d]
	}
	cells := make(map[string][]Cell)
	var firstErr error
	for _, g := range sortedGuarantees(accounts) {
		formed := 0
		for range g.Count {
			domain := g.Domain
			if domain == "" {
				domain = domainForCell(free, domains, g.Accels)
			}
			if c := free[domain]; c != nil && c.Take(g.Accels) {
				formed++
			}
			cells[domain] = append(cells[domain], Cell{Account: g.account, Accels: g.Accels})
		}
		if formed < g.Count && firstErr == nil {
			firstErr = &Error{
				Account: g.account, Index: g.index, Domain: g.Domain, Accels: g.Accels, Count: g.Count,
				Formed: formed, Free: freeAccels(free, g.Domain), Total: total[g.Domain],
			}
		}
	}
	return cells, firstErr
}

// domainCells returns the largest cells that can be formed in each domain of the fleet,
// and the names of the domains in the order of the fleet.
func domainCells(fleet []text.Pool) (map[string]*cell.Counts, []string) {
	free := make(map[string]*cell.Counts)
	var domains []string
	for _, p := range fleet {
		if free[p.Domain] == nil {
			free[p.Domain] = new(cell.Counts)
			domains = append(domains, p.Domain)
		}
		row := make([]int, max(p.Workers, 0))
		for i := range row {
			row[i] = p.Accels
		}
		free[p.Domain].AddMaximal(row, p.Accels, max(p.Racks, 0))
	}
	return free, domains
}

// sortedGuarantees lists all guarantees in the order in which their cells are formed.
func sortedGuarantees(accounts []text.Account) []accountGuarantee {
	var all []accountGuarantee
	for _, a := range accounts {
		for i, g := range a.Guarantee {
			g.Accels = cell.RoundUp(g.Accels)
			if g.Accels > 0 {
				all = append(all, accountGuarantee{account: a.Name, index: i, Guarantee: g})
			}
		}
	}
	slices.SortStableFunc(all, func(a, b accountGuarantee) int {
		anyDomain := func(e accountGuarantee) int {
			if e.Domain != "" {
				return 0
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.Accels, a.Accels), cmp.Compare(anyDomain(a), anyDomain(b)))
	})
	return all
}

// domainForCell returns the domain that can form the most cells of the given size.
func domainForCell(free map[string]*cell.Counts, domains []string, size int) string {
	best, mostCells := "", -1
	for _, d := range domains {
		if n := free[d].Formable(size); n > mostCells {
			best, mostCells = d, n
		}
	}
	return best
}

func freeAccels(free map[string]*cell.Counts, domain string) int {
	sum := 0
	for d, c := range free {
		if domain == "" || d == domain {
			sum += c.Sum()
		}
	}
	return sum
}
