package settings

import (
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// object reads the members of one JSON object and notes what is wrong.
type object struct {
	reader *reader
	value  hujson.Value
	// path is the dotted name of the object, empty for the root.
	path    string
	members map[string]hujson.Value
	used    map[string]bool
}

func newObject(r *reader, value hujson.Value, path string) *object {
	o := &object{
		reader:  r,
		value:   value,
		path:    path,
		members: make(map[string]hujson.Value),
		used:    make(map[string]bool),
	}
	body, ok := value.Value.(*hujson.Object)
	if !ok {
		r.note(value.StartOffset, o.describe()+" is not an object", "write it as { … }")
		return o
	}
	for _, member := range body.Members {
		o.add(member)
	}
	return o
}

func (o *object) add(member hujson.ObjectMember) {
	name := literal(member.Name).String()
	if _, twice := o.members[name]; twice {
		o.reader.note(member.Name.StartOffset, o.full(name)+" appears twice", "remove one of the two")
	}
	o.members[name] = member.Value
	o.value.EndOffset = member.Value.EndOffset
}

func (o *object) describe() string {
	if o.path == "" {
		return "the settings file"
	}
	return o.path
}

func (o *object) full(name string) string {
	if o.path == "" {
		return name
	}
	return o.path + "." + name
}

func (o *object) take(name string, required bool) (hujson.Value, bool) {
	o.used[name] = true
	value, found := o.members[name]
	if !found && required {
		o.reader.note(o.value.StartOffset, o.full(name)+" is missing", "add it to "+o.describe())
	}
	return value, found
}

// text returns a string member.
func (o *object) text(name, fallback string, required bool) string {
	value, found := o.take(name, required)
	if !found {
		return fallback
	}
	l := literal(value)
	if l.Kind() != '"' || (required && l.String() == "") {
		o.reader.note(value.StartOffset, o.full(name)+" is not a text", `write it in quotes, such as "a"`)
		return fallback
	}
	return l.String()
}

// texts returns a member that is a list of strings.
func (o *object) texts(name string) []string {
	value, found := o.take(name, false)
	if !found {
		return nil
	}
	list, ok := value.Value.(*hujson.Array)
	if !ok {
		o.reader.note(value.StartOffset, o.full(name)+" is not a list", `write it as [ "…" ]`)
		return nil
	}
	var texts []string
	for _, element := range list.Elements {
		if literal(element).Kind() != '"' {
			o.reader.note(element.StartOffset, o.full(name)+" holds something that is not a text", "write it in quotes")
			continue
		}
		texts = append(texts, literal(element).String())
	}
	return texts
}

// whole returns a member that is a whole number of at least low.
func (o *object) whole(name string, fallback, low int) int {
	value, found := o.take(name, false)
	if !found {
		return fallback
	}
	n, err := strconv.Atoi(strings.TrimSpace(string(literal(value))))
	if err != nil || n < low {
		remedy := "write a whole number of " + strconv.Itoa(low) + " or more"
		o.reader.note(value.StartOffset, o.full(name)+" is out of range", remedy)
		return fallback
	}
	return n
}

// number returns a member that is a number of at least 0.
func (o *object) number(name string, fallback float64) float64 {
	value, found := o.take(name, false)
	if !found {
		return fallback
	}
	n, err := strconv.ParseFloat(strings.TrimSpace(string(literal(value))), 64)
	if err != nil || n < 0 {
		o.reader.note(value.StartOffset, o.full(name)+" is out of range", "write a number of 0 or more")
		return fallback
	}
	return n
}

// flag returns a member that is true or false; false without one.
func (o *object) flag(name string) bool {
	value, found := o.take(name, false)
	if !found {
		return false
	}
	switch literal(value).Kind() {
	case 't':
		return true
	case 'f':
	default:
		o.reader.note(value.StartOffset, o.full(name)+" is not true or false", "write true or false")
	}
	return false
}

// duration returns a member such as "2s" that is longer than 0.
func (o *object) duration(name string, fallback time.Duration) time.Duration {
	value, found := o.take(name, false)
	if !found {
		return fallback
	}
	d, err := time.ParseDuration(literal(value).String())
	if err != nil || d <= 0 {
		o.reader.note(value.StartOffset, o.full(name)+" is not a duration", `write it as "2s" or "500ms"`)
		return fallback
	}
	return d
}

// object returns a member that is an object itself.
func (o *object) object(name string, required bool) *object {
	value, found := o.take(name, required)
	if !found {
		// Its members are looked for at the place where it is missing.
		absent := hujson.Value{StartOffset: o.value.StartOffset}
		return &object{reader: o.reader, value: absent, path: o.full(name), used: make(map[string]bool)}
	}
	return newObject(o.reader, value, o.full(name))
}

// present reports whether the member was written.
func (o *object) present(name string) bool {
	_, found := o.members[name]
	return found
}

// finish notes the members that no one asked for.
func (o *object) finish() {
	body, ok := o.value.Value.(*hujson.Object)
	if !ok {
		return
	}
	for _, member := range body.Members {
		name := literal(member.Name).String()
		if !o.used[name] {
			o.reader.note(member.Name.StartOffset, o.full(name)+" is unknown", "remove it or correct its name")
		}
	}
}

func literal(value hujson.Value) hujson.Literal {
	l, _ := value.Value.(hujson.Literal)
	return l
}
