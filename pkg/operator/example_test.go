package operator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

func ExampleEncodeChange() {
	change := operator.Change{
		Revision: 7, Author: "ann", Reason: "power work", At: time.Unix(0, 0).UTC(),
		Kind: operator.KindZone, Name: "b", Zone: &operator.Zone{Name: "b", Out: true},
	}
	fmt.Println(string(operator.EncodeChange(change)))
	// Output: {"revision":7,"author":"ann","reason":"power work","at":"1970-01-01T00:00:00Z","kind":"zone","name":"b","zone":{"name":"b","out":true}}
}

func ExampleHashKey() {
	fmt.Println(operator.HashKey("a caller's bearer key"))
	// Output: d7984d2bd6547ffcc3297ac37536bad91ee80c5dd0f8b67e723af58de81fd719
}

func TestChangeRoundTrip(t *testing.T) {
	for _, change := range []operator.Change{
		{Kind: operator.KindService, Name: "s", Service: &operator.Service{
			Name: "s", Kind: operator.ModelService, Model: "m", GroupSize: 8, Slots: 16, ColdLimit: 2,
			Groups: []operator.ZoneGroups{{Zone: "a", Count: 3}},
			Routes: []operator.Route{{Method: "POST", PathPrefix: "/x", Idempotent: true}},
			Objectives: operator.Objectives{
				FirstToken: 460 * time.Millisecond, BetweenTokens: 30 * time.Millisecond, Target: 0.95,
			},
		}},
		{Kind: operator.KindOrganisation, Name: "o", Organisation: &operator.Organisation{Name: "o", KeyHashes: []string{"h"}}},
		{Kind: operator.KindInstance, Name: "i", Instance: &operator.Instance{Name: "i", Drained: true, Held: true}},
		{Kind: operator.KindDefaults, Name: "defaults", Defaults: &operator.Defaults{
			Weight: 1, MaxInFlight: 2, RetryPercent: 3, RequestTimeout: time.Second,
		}},
		{Kind: operator.KindException, Name: "e", Exception: &operator.Exception{
			Name: "e", Organisation: "o", Setting: operator.SettingWeight, Value: 4,
		}},
		{Kind: operator.KindZone, Name: "z", Deleted: true, Base: 5, Attempt: "x"},
	} {
		decoded, err := operator.DecodeChange(operator.EncodeChange(change))
		require.NoError(t, err)
		require.Equal(t, change, decoded)
	}
}
