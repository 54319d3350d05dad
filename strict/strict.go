// Package strict reads YAML into structs and reports everything that does not fit
// at once, each with its line and column: unknown and repeated keys and values of
// the wrong type. Anchors, aliases, tags and further documents are refused.
//
// # Usage
//
//	var t text.Text
//	doc := strict.Read(raw, &t)
//	for _, p := range doc.Problems { ... }
//	where := doc.At("services[2].after[0]")
package strict

import (
	"cmp"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// Limits of a document.
const (
	MaxBytes = 512 << 10
	MaxDepth = 16
)

// Problem is one fault of a document.
type Problem struct {
	// Line and Column count from 1; 0 means the whole document.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Path names the place in the document, such as services[2].after[0].
	Path string `json:"path,omitempty"`
	// Value is the offending value as it was written.
	Value string `json:"value,omitempty"`
	// Want says what is allowed, or what is wrong.
	Want string `json:"want"`
}

// String formats the problem on one line.
func (p Problem) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d:%d: ", p.Line, p.Column)
	if p.Path != "" {
		fmt.Fprintf(&b, "%s: ", p.Path)
	}
	if p.Value != "" {
		fmt.Fprintf(&b, "%q: ", p.Value)
	}
	b.WriteString(p.Want)
	return b.String()
}

// Document is what was read: its problems, and where each value stands in it.
type Document struct {
	Problems []Problem

	positions map[string]*token.Token
}

// Read fills out, a pointer to a struct with yaml tags, from raw. What does not
// fit is left out of it and reported. Read panics when out is no such pointer or
// holds a type other than structs, slices, strings, bools and ints.
func Read(raw []byte, out any) *Document {
	d := &Document{positions: make(map[string]*token.Token)}
	if len(raw) > MaxBytes {
		d.Problems = []Problem{{Want: fmt.Sprintf("%d bytes are too many; at most %d are read", len(raw), MaxBytes)}}
		return d
	}
	body, ok := d.parse(raw)
	if !ok {
		return d
	}
	if body != nil {
		d.readValue(body, reflect.ValueOf(out).Elem(), "")
	}
	return d
}

// Report adds a problem of the value at path. A path that the document does not
// have stands for the nearest one above it.
func (d *Document) Report(path, value, want string) {
	line, column := d.At(path)
	d.Problems = append(d.Problems, Problem{line, column, path, value, want})
}

// At returns the line and column of a path, or of the nearest path above it.
func (d *Document) At(path string) (line, column int) {
	for {
		if t, ok := d.positions[path]; ok {
			return t.Position.Line, t.Position.Column
		}
		i := strings.LastIndexAny(path, ".[")
		if i < 0 {
			return 1, 1
		}
		path = path[:i]
	}
}

// Sort puts the problems in the order of the text.
func (d *Document) Sort() {
	slices.SortStableFunc(d.Problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
}

func (d *Document) parse(raw []byte) (ast.Node, bool) {
	tokens := lexer.Tokenize(string(raw))
	if t := firstTooDeep(tokens); t != nil {
		d.reportAt(t, "", "", fmt.Sprintf("nested deeper than %d levels", MaxDepth))
		return nil, false
	}
	file, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		d.reportSyntaxError(err)
		return nil, false
	}
	var bodies []ast.Node
	for _, doc := range file.Docs {
		if doc.Body != nil {
			bodies = append(bodies, doc.Body)
		}
	}
	switch len(bodies) {
	case 0:
		return nil, true
	case 1:
		return bodies[0], true
	default:
		d.reportAt(bodies[1].GetToken(), "", "", "a second document; want one")
		return nil, false
	}
}

func (d *Document) reportSyntaxError(err error) {
	var e *yaml.SyntaxError
	if errors.As(err, &e) && e.Token != nil {
		d.reportAt(e.Token, "", strings.TrimSpace(e.Token.Value), "syntax error: "+e.Message)
		return
	}
	d.Problems = append(d.Problems, Problem{Line: 1, Column: 1, Want: "syntax error: " + err.Error()})
}

func (d *Document) reportAt(t *token.Token, path, value, want string) {
	d.Problems = append(d.Problems, Problem{t.Position.Line, t.Position.Column, path, value, want})
}

// firstTooDeep returns the first token that is nested too deep, or nil.
func firstTooDeep(tokens token.Tokens) *token.Token {
	depth := 0
	for _, t := range tokens {
		switch t.Type {
		case token.SequenceStartType, token.MappingStartType:
			depth++
		case token.SequenceEndType, token.MappingEndType:
			depth--
		}
		if depth > MaxDepth {
			return t
		}
	}
	return nil
}
