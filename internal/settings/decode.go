package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// decoder decodes a file into a Go value and collects the problems.
type decoder struct {
	file      string
	text      []byte
	problems  Problems
	undecoded map[string]bool // paths of the values that could not be decoded
}

// addDecodeProblem adds a problem for a value that can't be decoded.
func (d *decoder) addDecodeProblem(n node, format string, args ...any) {
	d.undecoded[n.path] = true
	d.addProblem(n, format, args...)
}

// addProblem adds a problem at the position and path of n.
func (d *decoder) addProblem(n node, format string, args ...any) {
	offset := n.value.StartOffset
	before := d.text[:offset]
	d.problems = append(d.problems, &Problem{
		File:   d.file,
		Line:   1 + bytes.Count(before, []byte("\n")),
		Column: offset - bytes.LastIndexByte(before, '\n'),
		Path:   n.path,
		Text:   fmt.Sprintf(format, args...),
	})
}

// decode sets v from n. It uses the UnmarshalJSON method of v if it has one.
func (d *decoder) decode(n node, v reflect.Value) {
	if u, ok := v.Addr().Interface().(json.Unmarshaler); ok {
		d.unmarshal(n, u)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.decodeStruct(n, v)
	case reflect.Slice:
		d.decodeSlice(n, v)
	case reflect.Map:
		d.decodeMap(n, v)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		d.decode(n, v.Elem())
	default:
		d.decodeLiteral(n, v)
	}
}

// unmarshal passes n to u as standard JSON.
func (d *decoder) unmarshal(n node, u json.Unmarshaler) {
	c := n.value.Clone()
	c.Standardize()
	c.Minimize()
	if err := u.UnmarshalJSON(c.Pack()); err != nil {
		d.addDecodeProblem(n, "%s", strings.TrimPrefix(err.Error(), "json: "))
	}
}

func (d *decoder) decodeStruct(n node, v reflect.Value) {
	obj, ok := n.value.Value.(*hujson.Object)
	if !ok {
		d.addDecodeProblem(n, "want an object, got %s", describeValue(n.value))
		return
	}
	all := fieldsOf(v.Type())
	seen := map[string]bool{}
	for i := range obj.Members {
		name := obj.Members[i].Name.Value.(hujson.Literal).String()
		at := n.withMember(name, &obj.Members[i].Name)
		field, known := all.byName[name]
		switch {
		case !known:
			d.addDecodeProblem(at, "unknown field; want one of %s", strings.Join(all.names, ", "))
		case seen[name]:
			d.addDecodeProblem(at, "duplicate field")
		default:
			seen[name] = true
			d.decode(n.withMember(name, &obj.Members[i].Value), v.FieldByIndex(field))
		}
	}
}

func (d *decoder) decodeSlice(n node, v reflect.Value) {
	array, ok := n.value.Value.(*hujson.Array)
	if !ok {
		d.addDecodeProblem(n, "want an array, got %s", describeValue(n.value))
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(array.Elements), len(array.Elements)))
	for i := range array.Elements {
		d.decode(n.withElement(i, &array.Elements[i]), v.Index(i))
	}
}

func (d *decoder) decodeMap(n node, v reflect.Value) {
	obj, ok := n.value.Value.(*hujson.Object)
	if !ok {
		d.addDecodeProblem(n, "want an object, got %s", describeValue(n.value))
		return
	}
	v.Set(reflect.MakeMap(v.Type()))
	for i := range obj.Members {
		name := obj.Members[i].Name.Value.(hujson.Literal).String()
		key := reflect.ValueOf(name).Convert(v.Type().Key())
		if v.MapIndex(key).IsValid() {
			d.addDecodeProblem(n.withMember(name, &obj.Members[i].Name), "duplicate key")
			continue
		}
		element := reflect.New(v.Type().Elem()).Elem()
		d.decode(n.withMember(name, &obj.Members[i].Value), element)
		v.SetMapIndex(key, element)
	}
}

func (d *decoder) decodeLiteral(n node, v reflect.Value) {
	text := ""
	if l, ok := n.value.Value.(hujson.Literal); ok {
		text = string(l)
	}
	kind := n.value.Value.Kind()
	switch v.Kind() {
	case reflect.String:
		if kind != '"' {
			d.addDecodeProblem(n, "want a string, got %s", describeValue(n.value))
			return
		}
		v.SetString(n.value.Value.(hujson.Literal).String())
	case reflect.Bool:
		if kind != 't' && kind != 'f' {
			d.addDecodeProblem(n, "want true or false, got %s", describeValue(n.value))
			return
		}
		v.SetBool(kind == 't')
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		number, err := strconv.ParseInt(text, 10, v.Type().Bits())
		if err != nil {
			d.addDecodeProblem(n, "want a whole number of %d bits, got %s", v.Type().Bits(), describeValue(n.value))
			return
		}
		v.SetInt(number)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		number, err := strconv.ParseUint(text, 10, v.Type().Bits())
		if err != nil {
			d.addDecodeProblem(n, "want a whole number of %d bits, 0 or more, got %s", v.Type().Bits(), describeValue(n.value))
			return
		}
		v.SetUint(number)
	case reflect.Float32, reflect.Float64:
		number, err := strconv.ParseFloat(text, v.Type().Bits())
		if err != nil || kind != '0' {
			d.addDecodeProblem(n, "want a number, got %s", describeValue(n.value))
			return
		}
		v.SetFloat(number)
	default:
		d.addDecodeProblem(n, "field of type %s can't be set from a file", v.Type())
	}
}

// describeValue returns the value as shown in a problem.
func describeValue(v *hujson.Value) string {
	switch v.Value.Kind() {
	case '{':
		return "an object"
	case '[':
		return "an array"
	default:
		return string(v.Value.(hujson.Literal))
	}
}
