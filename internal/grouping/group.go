package grouping

// Member is one instance of a replica group.
type Member struct {
	Instance string
	Address  string
	// ChecksFencing reports whether the backend server rejects old generations.
	ChecksFencing bool
}

// Owner identifies the session that owns a group.
type Owner struct {
	Entry string
	Epoch uint64
}

// Group is a replica group's row in the platform's table.
type Group struct {
	Name    string
	Service string
	Model   string
	Zone    string
	// Domain is the fabric domain that all members share.
	Domain string
	// Members lists the instances by rank. Rank 0 serves requests.
	Members []Member
	Owner   Owner
	// Generation is the fencing token of orders and permits for the group.
	Generation uint64
	// Attempt is a unique ID of this write of the row.
	Attempt string
}

// GroupRow is a group and the version of its table row.
type GroupRow struct {
	Group
	Version int64
}

// Leader returns the address of the member that serves requests. It is empty
// for a group without members.
func (g Group) Leader() string {
	if len(g.Members) == 0 {
		return ""
	}
	return g.Members[0].Address
}

// Addresses returns the members' addresses, ordered by rank.
func (g Group) Addresses() []string {
	addresses := make([]string, 0, len(g.Members))
	for _, m := range g.Members {
		addresses = append(addresses, m.Address)
	}
	return addresses
}

// HasMember reports whether the instance is a member of the group.
func (g Group) HasMember(instance string) bool {
	for _, m := range g.Members {
		if m.Instance == instance {
			return true
		}
	}
	return false
}

// ChecksFencing reports whether every member rejects old generations. It returns
// true for a group without members.
func (g Group) ChecksFencing() bool {
	for _, m := range g.Members {
		if !m.ChecksFencing {
			return false
		}
	}
	return true
}

// Key prefixes of the table rows.
const (
	GroupPrefix      = "group/"
	AssignmentPrefix = "instance/"
)

// GroupKey returns the key of a group's row.
func GroupKey(zone, name string) string {
	return GroupPrefix + zone + "/" + name
}

// AssignmentKey returns the key of an instance's row.
func AssignmentKey(zone, instance string) string {
	return AssignmentPrefix + zone + "/" + instance
}
