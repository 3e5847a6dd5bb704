package settings

import (
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// object reads the members of one JSON object. It adds a finding for each invalid
// member and returns the member's default instead.
type object struct {
	reader *reader
	value  hujson.Value
	// path is the dotted name of the object, empty for the root.
	path    string
	members map[string]hujson.Value
	// used holds the names that were looked up. Other members are unknown.
	used map[string]bool
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
		r.addFinding(value.StartOffset, o.describe()+" is not an object", "write it as { … }")
		return o
	}
	for _, member := range body.Members {
		o.add(member)
	}
	return o
}

// add adds a member. For a duplicate name, it adds a finding and keeps the later
// member.
func (o *object) add(member hujson.ObjectMember) {
	name := literal(member.Name).String()
	if _, duplicate := o.members[name]; duplicate {
		o.reader.addFinding(member.Name.StartOffset, o.fullName(name)+" appears twice", "remove one of the two")
	}
	o.members[name] = member.Value
	o.value.EndOffset = member.Value.EndOffset
}

// describe returns the object's name for messages.
func (o *object) describe() string {
	if o.path == "" {
		return "the settings file"
	}
	return o.path
}

// fullName returns the dotted name of a member.
func (o *object) fullName(name string) string {
	if o.path == "" {
		return name
	}
	return o.path + "." + name
}

// lookup returns a member and reports it as missing if it is required.
func (o *object) lookup(name string, required bool) (hujson.Value, bool) {
	o.used[name] = true
	value, found := o.members[name]
	if !found && required {
		o.reader.addFinding(o.value.StartOffset, o.fullName(name)+" is missing", "add it to "+o.describe())
	}
	return value, found
}

// text returns a string member. A required one must not be empty.
func (o *object) text(name, fallback string, required bool) string {
	value, found := o.lookup(name, required)
	if !found {
		return fallback
	}
	l := literal(value)
	if l.Kind() != '"' || (required && l.String() == "") {
		o.reader.addFinding(value.StartOffset, o.fullName(name)+" is not a text", `write it in quotes, such as "a"`)
		return fallback
	}
	return l.String()
}

// textList returns a member that is a list of strings; nil if it is absent.
func (o *object) textList(name string) []string {
	value, found := o.lookup(name, false)
	if !found {
		return nil
	}
	array, ok := value.Value.(*hujson.Array)
	if !ok {
		o.reader.addFinding(value.StartOffset, o.fullName(name)+" is not a list", `write it as [ "…" ]`)
		return nil
	}
	var list []string
	for _, element := range array.Elements {
		if literal(element).Kind() != '"' {
			o.reader.addFinding(element.StartOffset, o.fullName(name)+" contains an element that is not a text", "write it in quotes")
			continue
		}
		list = append(list, literal(element).String())
	}
	return list
}

// integer returns a member that is a whole number of at least minimum.
func (o *object) integer(name string, fallback, minimum int) int {
	value, found := o.lookup(name, false)
	if !found {
		return fallback
	}
	n, err := strconv.Atoi(strings.TrimSpace(string(literal(value))))
	if err != nil || n < minimum {
		remedy := "write a whole number of " + strconv.Itoa(minimum) + " or more"
		o.reader.addFinding(value.StartOffset, o.fullName(name)+" is out of range", remedy)
		return fallback
	}
	return n
}

// number returns a member that is a number of at least 0.
func (o *object) number(name string, fallback float64) float64 {
	value, found := o.lookup(name, false)
	if !found {
		return fallback
	}
	n, err := strconv.ParseFloat(strings.TrimSpace(string(literal(value))), 64)
	if err != nil || n < 0 {
		o.reader.addFinding(value.StartOffset, o.fullName(name)+" is out of range", "write a number of 0 or more")
		return fallback
	}
	return n
}

// boolean returns a member that is true or false. The default is false.
func (o *object) boolean(name string) bool {
	value, found := o.lookup(name, false)
	if !found {
		return false
	}
	switch literal(value).Kind() {
	case 't':
		return true
	case 'f':
	default:
		o.reader.addFinding(value.StartOffset, o.fullName(name)+" is not true or false", "write true or false")
	}
	return false
}

// duration returns a member such as "2s" that is longer than 0.
func (o *object) duration(name string, fallback time.Duration) time.Duration {
	value, found := o.lookup(name, false)
	if !found {
		return fallback
	}
	d, err := time.ParseDuration(literal(value).String())
	if err != nil || d <= 0 {
		o.reader.addFinding(value.StartOffset, o.fullName(name)+" is not a duration", `write it as "2s" or "500ms"`)
		return fallback
	}
	return d
}

// durationOrZero returns a duration that may be 0, which is also its default.
func (o *object) durationOrZero(name string) time.Duration {
	value, found := o.lookup(name, false)
	if !found {
		return 0
	}
	d, err := time.ParseDuration(literal(value).String())
	if err != nil || d < 0 {
		o.reader.addFinding(value.StartOffset, o.fullName(name)+" is not a duration", `write it as "2s" or "500ms", or "0s"`)
		return 0
	}
	return d
}

// object returns a member that is itself an object. If it is absent, object returns
// an object without members.
func (o *object) object(name string, required bool) *object {
	value, found := o.lookup(name, required)
	if !found {
		// Findings about missing members are reported at the start of the parent.
		absent := hujson.Value{StartOffset: o.value.StartOffset}
		return &object{reader: o.reader, value: absent, path: o.fullName(name), used: make(map[string]bool)}
	}
	return newObject(o.reader, value, o.fullName(name))
}

// has reports whether the object has a member with the name.
func (o *object) has(name string) bool {
	_, found := o.members[name]
	return found
}

// reportUnknown reports the members that were never looked up as unknown.
func (o *object) reportUnknown() {
	body, ok := o.value.Value.(*hujson.Object)
	if !ok {
		return
	}
	for _, member := range body.Members {
		name := literal(member.Name).String()
		if !o.used[name] {
			o.reader.addFinding(member.Name.StartOffset, o.fullName(name)+" is unknown", "remove it or correct its name")
		}
	}
}

// literal returns the value as a literal, or an empty literal if it is an object or
// a list.
func literal(value hujson.Value) hujson.Literal {
	l, _ := value.Value.(hujson.Literal)
	return l
}
