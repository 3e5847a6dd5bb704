package fleet_test

import (
	"os"
	"testing"

	"github.com/hibiscuspulley/hibiscuspulley/internal/seeded"
)

// chaosCases is the number of random fault schedules per invariant;
// -rapid.checks overrides it.
const chaosCases = 3

func TestMain(m *testing.M) { os.Exit(seeded.Main(m, chaosCases)) }
