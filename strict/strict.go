// Package strict decodes YAML into structs. It reports all problems of a document at once,
// each with its line and column: unknown keys, repeated keys and values of the wrong type.
// Anchors, aliases, tags and more than one document are reported as problems too.
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

// Limits of a document: its size in bytes and the depth of nested brackets and braces.
const (
	MaxBytes = 512 << 10
	MaxDepth = 16
)

// Problem is one problem of a document.
type Problem struct {
	// Line and Column start at 1; 0 stands for the whole document.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Path is the path of the value in the document, such as services[2].after[0].
	Path string `json:"path,omitempty"`
	// Value is the invalid value as written in the document.
	Value string `json:"value,omitempty"`
	// Want describes what is allowed or what is wrong.
	Want string `json:"want"`
}

// String formats the problem as one line.
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

// Document is a decoded document with its problems and the positions of its values.
type Document struct {
	Problems []Problem

	positions map[string]*token.Token
}

// Read decodes raw into out, a pointer to a struct with yaml tags. Invalid values are reported
// and left unset. Read panics if out is not such a pointer or contains types other than
// structs, slices, strings, bools, ints and int64s.
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

// Report adds a problem of the value at path. If the document has no such path, the problem
// gets the position of the nearest path above it.
func (d *Document) Report(path, value, want string) {
	line, column := d.At(path)
	d.Problems = append(d.Problems, Problem{line, column, path, value, want})
}

// At returns the line and column of a path or, if the document does not have it, of the
// nearest path above it.
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

// Sort sorts the problems by line and column.
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

// firstTooDeep returns the first token nested deeper than MaxDepth, or nil. It counts the
// brackets and braces of flow collections only.
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
