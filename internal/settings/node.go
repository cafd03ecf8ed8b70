package settings

import (
	"fmt"

	"github.com/tailscale/hujson"
)

// node is a value of the file and its path.
type node struct {
	value *hujson.Value
	path  string
}

// withMember returns v as the member of n with this name.
func (n node) withMember(name string, v *hujson.Value) node {
	if n.path == "" {
		return node{v, name}
	}
	return node{v, n.path + "." + name}
}

// withElement returns v as the i-th element of n.
func (n node) withElement(i int, v *hujson.Value) node {
	return node{v, fmt.Sprintf("%s[%d]", n.path, i)}
}

// member returns the member with this name; if the file leaves it out, the
// place is that of the object which lacks it.
func (n node) member(name string) node {
	if obj, ok := n.value.Value.(*hujson.Object); ok {
		for i := range obj.Members {
			if obj.Members[i].Name.Value.(hujson.Literal).String() == name {
				return n.withMember(name, &obj.Members[i].Value)
			}
		}
	}
	return n.withMember(name, n.value)
}

// element returns the i-th element; its place is that of n if the file has no
// such element.
func (n node) element(i int) node {
	if array, ok := n.value.Value.(*hujson.Array); ok && i < len(array.Elements) {
		return n.withElement(i, &array.Elements[i])
	}
	return n.withElement(i, n.value)
}
