package rendezvous

import (
	"fmt"
	"testing"

	"oleanderdale.org/core/id"
)

func TestOnlyKeysOfRemovedInstanceMove(t *testing.T) {
	all := []id.Instance{"a", "b", "c", "d"}
	remaining := []id.Instance{"a", "b", "d"}
	moved := 0
	for n := range 1000 {
		key := fmt.Sprint("key", n)
		before, after := Owner(key, all), Owner(key, remaining)
		if before != "c" && before != after {
			t.Fatalf("%s moved from %s to %s although %s is still a candidate", key, before, after, before)
		}
		if before == "c" {
			moved++
		}
	}
	if moved < 150 || moved > 350 {
		t.Errorf("c owned %d of 1000 keys, want about a quarter", moved)
	}
}

func TestRankStartsWithTheOwner(t *testing.T) {
	all := []id.Instance{"a", "b", "c", "d"}
	for n := range 100 {
		key := fmt.Sprint("key", n)
		if got := Rank(key, all, 2); got[0] != Owner(key, all) || len(got) != 2 {
			t.Fatalf("Rank(%s) = %v, owner %s", key, got, Owner(key, all))
		}
	}
}
