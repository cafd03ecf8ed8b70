package settings

import (
	"fmt"

	"github.com/tailscale/hujson"
)

// node is a JSON value of the file and its field path.
type node struct {
	value *hujson.Value
	path  string
}

// withMember returns a node for v, the member of n with the given name.
func (n node) withMember(name string, v *hujson.Value) node {
	if n.path == "" {
		return node{v, name}
	}
	return node{v, n.path + "." + name}
}

// withElement returns a node for v, the i-th element of n.
func (n node) withElement(i int, v *hujson.Value) node {
	return node{v, fmt.Sprintf("%s[%d]", n.path, i)}
}

// member returns the member with the given name. If the file does not have it,
// the node has the position of n.
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

// element returns the i-th element. If the file does not have it, the node has
// the position of n.
func (n node) element(i int) node {
	if array, ok := n.value.Value.(*hujson.Array); ok && i < len(array.Elements) {
		return n.withElement(i, &array.Elements[i])
	}
	return n.withElement(i, n.value)
}
