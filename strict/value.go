package strict

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// value fills v from node, or reports why it can't.
func (d *Document) value(node ast.Node, v reflect.Value, path string) {
	if _, known := d.places[path]; !known {
		d.places[path] = node.GetToken()
	}
	if _, null := node.(*ast.NullNode); null {
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.object(node, v, path)
	case reflect.Slice:
		d.list(node, v, path)
	case reflect.String:
		d.text(node, v, path)
	case reflect.Bool:
		d.boolean(node, v, path)
	case reflect.Int, reflect.Int64:
		d.integer(node, v, path)
	default:
		panic(fmt.Sprintf("strict: %s has the unsupported type %s", path, v.Type()))
	}
}

func (d *Document) object(node ast.Node, v reflect.Value, path string) {
	pairs, ok := entries(node)
	if !ok {
		d.mistyped(node, path, "keys with values")
		return
	}
	fields := tagged(v)
	seen := make(map[string]bool)
	for _, pair := range pairs {
		key := pair.Key.GetToken()
		name := key.Value
		at := join(path, name)
		field, known := fields[name]
		switch {
		case !known:
			d.fault(key, at, name, "unknown key; want one of "+strings.Join(names(v), ", "))
			continue
		case seen[name]:
			d.fault(key, at, name, "the key stands twice")
			continue
		}
		seen[name] = true
		d.value(pair.Value, field, at)
	}
}

func (d *Document) list(node ast.Node, v reflect.Value, path string) {
	seq, ok := node.(*ast.SequenceNode)
	if !ok {
		d.mistyped(node, path, "a list")
		return
	}
	out := reflect.MakeSlice(v.Type(), len(seq.Values), len(seq.Values))
	for i, item := range seq.Values {
		d.value(item, out.Index(i), path+"["+strconv.Itoa(i)+"]")
	}
	v.Set(out)
}

func (d *Document) text(node ast.Node, v reflect.Value, path string) {
	switch n := node.(type) {
	case *ast.StringNode:
		v.SetString(n.Value)
	case *ast.LiteralNode:
		v.SetString(n.Value.Value)
	default:
		d.mistyped(node, path, "text; put it in quotes if it looks like a number")
	}
}

func (d *Document) boolean(node ast.Node, v reflect.Value, path string) {
	n, ok := node.(*ast.BoolNode)
	if !ok {
		d.mistyped(node, path, "true or false")
		return
	}
	v.SetBool(n.Value)
}

func (d *Document) integer(node ast.Node, v reflect.Value, path string) {
	n, ok := node.(*ast.IntegerNode)
	if !ok {
		d.mistyped(node, path, "a whole number")
		return
	}
	switch i := n.Value.(type) {
	case int64:
		v.SetInt(i)
	case uint64:
		if i > 1<<62 {
			d.mistyped(node, path, "a smaller number")
			return
		}
		v.SetInt(int64(i))
	default:
		d.mistyped(node, path, "a whole number")
	}
}

func (d *Document) mistyped(node ast.Node, path, want string) {
	value := ""
	switch node.(type) {
	case *ast.MappingNode, *ast.MappingValueNode, *ast.SequenceNode:
	case *ast.AnchorNode, *ast.AliasNode, *ast.TagNode, *ast.MergeKeyNode:
		value, want = node.GetToken().Value, "anchors, aliases and tags are not read; want "+want
	default:
		value = node.GetToken().Value
	}
	if !strings.Contains(want, "want ") {
		want = "want " + want
	}
	d.fault(node.GetToken(), path, value, want)
}

func entries(node ast.Node) ([]*ast.MappingValueNode, bool) {
	switch n := node.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	default:
		return nil, false
	}
}

func tagged(v reflect.Value) map[string]reflect.Value {
	fields := make(map[string]reflect.Value)
	for i := range v.NumField() {
		fields[v.Type().Field(i).Tag.Get("yaml")] = v.Field(i)
	}
	return fields
}

func names(v reflect.Value) []string {
	list := make([]string, v.NumField())
	for i := range list {
		list[i] = v.Type().Field(i).Tag.Get("yaml")
	}
	return list
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
