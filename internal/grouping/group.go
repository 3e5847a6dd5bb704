package grouping

// Member is one instance of a replica group.
type Member struct {
	Instance string
	Address  string
	// ChecksFencing says that the backend server refuses old generations.
	ChecksFencing bool
}

// Owner names the session that owns a group.
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
	// Members lists the instances by rank; rank 0 answers requests.
	Members []Member
	Owner   Owner
	// Generation is the fencing token of orders and permits.
	Generation uint64
	// Attempt tells this write from every other one.
	Attempt string
}

// GroupRow is a group with the version of its row.
type GroupRow struct {
	Group
	Version int64
}

// Leader returns the address of the member that answers requests.
func (g Group) Leader() string {
	if len(g.Members) == 0 {
		return ""
	}
	return g.Members[0].Address
}

// Addresses returns the members' addresses by rank.
func (g Group) Addresses() []string {
	addresses := make([]string, 0, len(g.Members))
	for _, m := range g.Members {
		addresses = append(addresses, m.Address)
	}
	return addresses
}

// Has reports whether the instance is a member.
func (g Group) Has(instance string) bool {
	for _, m := range g.Members {
		if m.Instance == instance {
			return true
		}
	}
	return false
}

// ChecksFencing reports whether every member refuses old generations.
func (g Group) ChecksFencing() bool {
	for _, m := range g.Members {
		if !m.ChecksFencing {
			return false
		}
	}
	return true
}

// Key prefixes of the rows.
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
