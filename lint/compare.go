package lint

import (
	"fmt"
	"slices"
	"strings"

	"github.com/chestnutsail/chestnutsail/site"
)

// Change is the kind of a difference.
type Change string

// The kinds of differences.
const (
	Added   Change = "added"
	Removed Change = "removed"
	Changed Change = "changed"
)

// Difference is one thing in which two configurations differ.
type Difference struct {
	Change Change `json:"change"`
	// Place is the queue, the account or the part of the configuration that differs.
	Place string `json:"place"`
	// Field is the part of the place; "" for a whole queue or account.
	Field string `json:"field,omitempty"`
	// Before is "" for what is added, and After for what is removed.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// field is a part of a queue or an account with its value as text.
type field struct{ name, value string }

// Compare returns what changes from one configuration to the next. Queues and accounts are told apart by
// name; of several with one name, which Check reports, the first is compared.
func Compare(before, after site.Config) []Difference {
	d := changedFields("configuration", configFields(before), configFields(after))
	d = append(d, compareNamed("queue", before.Queues, after.Queues, func(q site.Queue) string { return q.Name }, queueFields)...)
	d = append(d, compareNamed("account", before.Accounts, after.Accounts, accountName, accountFields)...)
	return append(d, compareKeys(before.Accounts, after.Accounts)...)
}

func configFields(c site.Config) []field {
	return []field{{"version", fmt.Sprint(c.Version)}, {"largest body", fmt.Sprint(c.Limits.Body)}}
}

func queueFields(q site.Queue) []field {
	return []field{
		{"host", q.Host},
		{"prefix", q.Prefix},
		{"service", q.Service},
		{"target in ms", fmt.Sprint(int64(q.Target))},
		{"objective factor", fmt.Sprint(q.ObjectiveFactor)},
		{"priority", fmt.Sprint(q.Priority)},
		{"attempts", fmt.Sprint(q.Attempts)},
		{"public", fmt.Sprint(q.Public)},
	}
}

func accountName(a site.Account) string { return a.Name }

func accountFields(a site.Account) []field { return []field{{"guarantee", fmt.Sprint(a.Guaranteed)}} }

func changedFields(at string, before, after []field) []Difference {
	var d []Difference
	for i, f := range before {
		if f.value != after[i].value {
			d = append(d, Difference{Changed, at, f.name, f.value, after[i].value})
		}
	}
	return d
}

func compareNamed[T any](kind string, before, after []T, name func(T) string, fields func(T) []field) []Difference {
	var d []Difference
	old, current := byName(before, name), byName(after, name)
	for i, x := range before {
		at := place(kind, name(x), i)
		y, kept := current[name(x)]
		switch {
		case old[name(x)] != i:
		case !kept:
			d = append(d, Difference{Change: Removed, Place: at, Before: describe(fields(x))})
		default:
			d = append(d, changedFields(at, fields(x), fields(after[y]))...)
		}
	}
	for i, y := range after {
		if _, known := old[name(y)]; !known && current[name(y)] == i {
			d = append(d, Difference{Change: Added, Place: place(kind, name(y), i), After: describe(fields(y))})
		}
	}
	return d
}

// byName returns the position of the first entry with each name.
func byName[T any](list []T, name func(T) string) map[string]int {
	positions := make(map[string]int)
	for i, x := range list {
		if _, known := positions[name(x)]; !known {
			positions[name(x)] = i
		}
	}
	return positions
}

func describe(fields []field) string {
	parts := make([]string, 0, len(fields))
	for _, f := range fields {
		parts = append(parts, f.name+" "+f.value)
	}
	return strings.Join(parts, ", ")
}

// compareKeys returns the keys that accounts lose and gain, by fingerprint.
func compareKeys(before, after []site.Account) []Difference {
	var d []Difference
	old, current := keysByName(before), keysByName(after)
	for i, a := range before {
		for _, key := range a.Keys {
			if !slices.Contains(current[a.Name], key) {
				d = append(d, Difference{Change: Removed, Place: place("account", a.Name, i), Field: "key", Before: fingerprint(key)})
			}
		}
	}
	for i, a := range after {
		for _, key := range a.Keys {
			if !slices.Contains(old[a.Name], key) {
				d = append(d, Difference{Change: Added, Place: place("account", a.Name, i), Field: "key", After: fingerprint(key)})
			}
		}
	}
	return d
}

func keysByName(accounts []site.Account) map[string][]string {
	keys := make(map[string][]string)
	for _, a := range accounts {
		keys[a.Name] = append(keys[a.Name], a.Keys...)
	}
	return keys
}
