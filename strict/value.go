package strict

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// readValue sets v from node, or reports why the node is invalid. It records the position of
// path. Null leaves v unchanged.
func (d *Document) readValue(node ast.Node, v reflect.Value, path string) {
	if _, known := d.positions[path]; !known {
		d.positions[path] = node.GetToken()
	}
	if _, null := node.(*ast.NullNode); null {
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.readStruct(node, v, path)
	case reflect.Slice:
		d.readList(node, v, path)
	case reflect.String:
		d.readString(node, v, path)
	case reflect.Bool:
		d.readBool(node, v, path)
	case reflect.Int, reflect.Int64:
		d.readInt(node, v, path)
	default:
		panic(fmt.Sprintf("strict: %s has the unsupported type %s", path, v.Type()))
	}
}

func (d *Document) readStruct(node ast.Node, v reflect.Value, path string) {
	pairs, ok := mappingEntries(node)
	if !ok {
		d.reportType(node, path, "keys with values")
		return
	}
	fields := fieldsByKey(v)
	seen := make(map[string]bool)
	for _, pair := range pairs {
		key := pair.Key.GetToken()
		name := key.Value
		fieldPath := joinPath(path, name)
		field, known := fields[name]
		switch {
		case !known:
			d.reportAt(key, fieldPath, name, "unknown key; want one of "+strings.Join(fieldKeys(v), ", "))
			continue
		case seen[name]:
			d.reportAt(key, fieldPath, name, "the key stands twice")
			continue
		}
		seen[name] = true
		d.readValue(pair.Value, field, fieldPath)
	}
}

func (d *Document) readList(node ast.Node, v reflect.Value, path string) {
	seq, ok := node.(*ast.SequenceNode)
	if !ok {
		d.reportType(node, path, "a list")
		return
	}
	out := reflect.MakeSlice(v.Type(), len(seq.Values), len(seq.Values))
	for i, item := range seq.Values {
		d.readValue(item, out.Index(i), path+"["+strconv.Itoa(i)+"]")
	}
	v.Set(out)
}

func (d *Document) readString(node ast.Node, v reflect.Value, path string) {
	switch n := node.(type) {
	case *ast.StringNode:
		v.SetString(n.Value)
	case *ast.LiteralNode:
		v.SetString(n.Value.Value)
	default:
		d.reportType(node, path, "text; put it in quotes if it looks like a number")
	}
}

func (d *Document) readBool(node ast.Node, v reflect.Value, path string) {
	n, ok := node.(*ast.BoolNode)
	if !ok {
		d.reportType(node, path, "true or false")
		return
	}
	v.SetBool(n.Value)
}

func (d *Document) readInt(node ast.Node, v reflect.Value, path string) {
	n, ok := node.(*ast.IntegerNode)
	if !ok {
		d.reportType(node, path, "a whole number")
		return
	}
	switch i := n.Value.(type) {
	case int64:
		v.SetInt(i)
	case uint64:
		if i > 1<<62 {
			d.reportType(node, path, "a smaller number")
			return
		}
		v.SetInt(int64(i))
	default:
		d.reportType(node, path, "a whole number")
	}
}

func (d *Document) reportType(node ast.Node, path, want string) {
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
	d.reportAt(node.GetToken(), path, value, want)
}

func mappingEntries(node ast.Node) ([]*ast.MappingValueNode, bool) {
	switch n := node.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	default:
		return nil, false
	}
}

func fieldsByKey(v reflect.Value) map[string]reflect.Value {
	fields := make(map[string]reflect.Value)
	for i := range v.NumField() {
		fields[v.Type().Field(i).Tag.Get("yaml")] = v.Field(i)
	}
	return fields
}

func fieldKeys(v reflect.Value) []string {
	keys := make([]string, v.NumField())
	for i := range keys {
		keys[i] = v.Type().Field(i).Tag.Get("yaml")
	}
	return keys
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
