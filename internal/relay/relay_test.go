package relay_test

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hibiscuspulley/hibiscuspulley/internal/relay"
	"github.com/hibiscuspulley/hibiscuspulley/internal/seeded"
	"github.com/hibiscuspulley/hibiscuspulley/internal/store"
)

func TestMain(m *testing.M) { os.Exit(seeded.Main(m, 300)) }

// fleet returns n entries in each of the zones "a" and "b". The last of each zone are
// the strongest.
func fleet(n int) []relay.Entry {
	var live []relay.Entry
	for _, zone := range []string{"a", "b"} {
		for i := range n {
			name := fmt.Sprintf("%s-%02d", zone, i)
			live = append(live, relay.Entry{Name: name, Zone: zone, Address: name + ":82", Strength: 0.2})
		}
		for i := range min(n, 3) {
			live[len(live)-1-i].Strength = 0.8
		}
	}
	return live
}

func names(entries []relay.Entry) []string {
	var list []string
	for _, e := range entries {
		list = append(list, e.Name)
	}
	return list
}

func TestTheStrongestEntriesOfAZoneAreItsRelays(t *testing.T) {
	live := fleet(20)
	require.Equal(t, []string{"a-17", "a-18", "b-17", "b-18"}, names(relay.Choose("a-00", live).Hubs))
	first := relay.Choose("a-17", live)
	require.True(t, first.Direct)
	require.True(t, first.Hub)
	second := relay.Choose("a-18", live)
	require.False(t, second.Direct)
	require.True(t, second.Hub)
	require.Equal(t, []string{"a-17"}, names(second.Upstreams))
	counts := map[string]int{}
	for i := range 17 {
		role := relay.Choose(fmt.Sprintf("a-%02d", i), live)
		require.False(t, role.Direct || role.Hub)
		require.ElementsMatch(t, []string{"a-17", "a-18"}, names(role.Upstreams))
		counts[role.Upstreams[0].Name]++
	}
	require.Positive(t, counts["a-17"])
	require.Positive(t, counts["a-18"])
}

func TestAllEntriesOfASmallZoneFollowTheStore(t *testing.T) {
	live := fleet(4)
	for _, e := range live {
		role := relay.Choose(e.Name, live)
		require.True(t, role.Direct && role.Hub)
		require.Len(t, role.Hubs, 8)
	}
	require.True(t, relay.Choose("unknown", live).Direct)
}

// Entries must agree about the relays whatever the order in which they know the
// others, and the fingerprint must say when they don't.
func TestEntriesThatKnowTheSameAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		live := fleet(rapid.IntRange(1, 12).Draw(t, "entries"))
		shuffled := rapid.Permutation(live).Draw(t, "order")
		require.Equal(t, relay.Fingerprint(live), relay.Fingerprint(shuffled))
		require.Equal(t, relay.Choose(live[0].Name, live), relay.Choose(live[0].Name, shuffled))
		fewer := slices.Delete(slices.Clone(live), 0, 1)
		require.NotEqual(t, relay.Fingerprint(live), relay.Fingerprint(fewer))
	})
}

// history is a store's table with all its versions.
type history struct {
	version int64
	rows    map[string]store.Row
	changes []store.Row
}

func (h *history) change(key string, deleted bool) {
	h.version++
	row := store.Row{RowKey: store.RowKey{Key: key}, Version: h.version, Deleted: deleted}
	h.changes = append(h.changes, row)
	if deleted {
		delete(h.rows, key)
		return
	}
	h.rows[key] = row
}

// read returns what the store responded at a time: the whole table, or the changes
// since a version.
func (h *history) read(after int64, at time.Time) store.Update {
	u := store.Update{Full: after == 0, Version: h.version, AsOf: at}
	if after == 0 {
		for _, row := range h.rows {
			u.Rows = append(u.Rows, row)
		}
		return u
	}
	for _, row := range h.changes {
		if row.Version > after {
			u.Rows = append(u.Rows, row)
		}
	}
	return u
}

// state rebuilds a table from the updates that a Table passed on.
type state map[string]int64

func (s state) apply(u store.Update) {
	if u.Full {
		clear(s)
	}
	for _, row := range u.Rows {
		if row.Deleted {
			delete(s, row.Key)
		} else {
			s[row.Key] = row.Version
		}
	}
}

// An entry gets updates from the store and from two relays, which are behind by
// different amounts and may wake with old rows. No row may go back, and once a recent
// update is in, the table must be the store's.
func TestNoRowGoesBackWhateverTheSource(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &history{rows: map[string]store.Row{}}
		now := time.Unix(1000, 0)
		relays := []*relay.Table{relay.NewTable(), relay.NewTable()}
		own, seen := relay.NewTable(), state{}
		newest, asOf := map[string]int64{}, time.Time{}
		take := func(u store.Update) {
			news, ok := own.Apply(u)
			if !ok {
				return
			}
			for _, row := range news.Rows {
				require.Greater(t, row.Version, newest[row.Key], "row %s", row.Key)
				newest[row.Key] = row.Version
			}
			require.False(t, news.AsOf.Before(asOf))
			asOf = news.AsOf
			seen.apply(news)
		}
		h.change("k0", false)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(10 * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0, 1:
				key := fmt.Sprint("k", rapid.IntRange(0, 4).Draw(t, "key"))
				_, exists := h.rows[key]
				h.change(key, exists && rapid.Bool().Draw(t, "deleted"))
			case 2: // a relay reads the store
				r := relays[rapid.IntRange(0, 1).Draw(t, "relay")]
				after := r.Version()
				if rapid.Bool().Draw(t, "full") {
					after = 0
				}
				r.Apply(h.read(after, now))
			case 3: // this entry asks a relay
				if u, ok := relays[rapid.IntRange(0, 1).Draw(t, "relay")].Since(own.Version()); ok {
					take(u)
				}
			case 4: // it reads the store
				take(h.read(own.Version(), now))
			case 5: // it reads the whole table, and gets the response after other updates
				u := h.read(0, now)
				take(h.read(own.Version(), now))
				take(u)
			}
		}
		take(h.read(own.Version(), now))
		want := state{}
		for key, row := range h.rows {
			want[key] = row.Version
		}
		require.Equal(t, want, seen)
	})
}
