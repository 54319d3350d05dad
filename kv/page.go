package kv

import (
	"context"

	"github.com/chestnutsail/chestnutsail/clock"
)

// Page is a part of the keys under a prefix, in lexical order.
type Page struct {
	Entries []Entry
	// Version is the version of the store at the time of the answer.
	Version uint64
	// More means that there are more keys after the last entry.
	More bool
}

// Pager reads keys in pages.
type Pager interface {
	// ListPage returns the first keys under a prefix that sort after the given key; "" means
	// from the first key.
	ListPage(ctx context.Context, prefix, after string) (Page, error)
}

// maxPageAttempts is the number of times that a page is requested if no answer arrives.
const maxPageAttempts = 3

// ListAll returns all keys under a prefix that sort after the given key, and the version from
// which to watch for changes. The pages are not read from one snapshot, so this is the version of
// the first page. The timeout in milliseconds applies to each page; 0 means that only ctx limits
// the time. If a page gets no answer, only this page is requested again.
func ListAll(ctx context.Context, p Pager, prefix, after string, timeout clock.Millis) ([]Entry, uint64, error) {
	var list []Entry
	var version uint64
	attempts := 0
	for {
		page, err := listPage(ctx, p, prefix, after, timeout)
		attempts++
		if KindOf(err) == Ambiguous && ctx.Err() == nil && attempts < maxPageAttempts {
			continue
		}
		if err != nil {
			return nil, 0, err
		}
		attempts = 0
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
		pageCtx, cancel := context.WithTimeout(ctx, timeout.Duration())
		defer cancel()
		ctx = pageCtx
	}
	return p.ListPage(ctx, prefix, after)
}
