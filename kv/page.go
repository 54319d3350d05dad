package kv

import (
	"context"

	"github.com/chestnutsail/chestnutsail/clock"
)

// Page is some of the keys under a prefix, in their order.
type Page struct {
	Entries []Entry
	// Version is the store's at the time of the answer.
	Version uint64
	// More tells that keys come after the last entry.
	More bool
}

// Pager reads keys a page at a time.
type Pager interface {
	// ListPage reads keys under a prefix that come after a key; "" means from the first on.
	ListPage(ctx context.Context, prefix, after string) (Page, error)
}

// pageTries is how often a page is read whose answer does not come.
const pageTries = 3

// ListAll reads all keys under a prefix that come after a key, and the version from which
// to watch them: pages are no snapshot, so it is that of the first. Each page gets timeout
// milliseconds; 0 leaves the bound to ctx. What has been read is not read again for a page
// that is lost.
func ListAll(ctx context.Context, p Pager, prefix, after string, timeout clock.Millis) ([]Entry, uint64, error) {
	var list []Entry
	var version uint64
	tries := 0
	for {
		page, err := listPage(ctx, p, prefix, after, timeout)
		tries++
		if KindOf(err) == Ambiguous && ctx.Err() == nil && tries < pageTries {
			continue
		}
		if err != nil {
			return nil, 0, err
		}
		tries = 0
		if version == 0 {
			version = page.Version
		}
		list = append(list, page.Entries...)
		if !page.More || len(page.Entries) == 0 {
			return list, version, nil
		}
		after = page.Entries[len(page.Entries)-1].Key
	}
}

func listPage(ctx context.Context, p Pager, prefix, after string, timeout clock.Millis) (Page, error) {
	if timeout > 0 {
		bound, cancel := context.WithTimeout(ctx, timeout.Duration())
		defer cancel()
		ctx = bound
	}
	return p.ListPage(ctx, prefix, after)
}
