package check_test

import (
	"errors"
	"os"
	"reflect"
	"testing"

	"github.com/chestnutsail/chestnutsail/check"
	"github.com/chestnutsail/chestnutsail/text"
)

// FuzzText checks that Text does not panic, that an invalid text is refused with at least one
// problem, and that Text and text.Parse, which entries use for accepted texts, return the same
// result.
func FuzzText(f *testing.F) {
	for _, name := range []string{"small", "perth", "lahore"} {
		raw, err := os.ReadFile("../examples/" + name + ".yaml")
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	for _, seed := range []string{
		"", "firm: f", "firm: [", "a: &x {b: *x}", "- 1", "? {a: b} : c", "firm: !!int 3", "<<: *x",
		"firm: |\n  f\nprefer: 0x10", "\x00", "\xff\xfe", "firm: f\n---\nfirm: g", "services: [{after: [a, a]}]",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		checked, err := check.Text(raw)
		if err != nil {
			var e *check.Error
			if !errors.As(err, &e) || len(e.Problems) == 0 {
				t.Fatalf("refused without a problem: %v", err)
			}
			return
		}
		parsed, err := text.Parse(raw)
		if err != nil {
			t.Fatalf("accepted by check.Text, refused by text.Parse: %v", err)
		}
		if !reflect.DeepEqual(checked, parsed) {
			t.Fatalf("parsed as %+v by check.Text and as %+v by text.Parse", checked, parsed)
		}
	})
}
