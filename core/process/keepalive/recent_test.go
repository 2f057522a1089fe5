package keepalive

import (
	"testing"
	"time"
)

func TestEvictOldest(t *testing.T) {
	p := EvictOldest{Policy: NewHistogram(Settings{})}
	long := p.Loss(Item{Artifact: "a", Bytes: 1, LoadCost: time.Hour, Idle: 2 * time.Minute})
	short := p.Loss(Item{Artifact: "b", Bytes: 1 << 40, LoadCost: time.Second, Idle: time.Minute})
	if long >= short {
		t.Errorf("idle for 2 min: loss %g, for 1 min: %g; the longer idle one must go first", long, short)
	}
	if got, want := p.Keep(Item{Artifact: "a"}), NewHistogram(Settings{}).Keep(Item{Artifact: "a"}); got != want {
		t.Errorf("keeps %s, the policy below says %s", got, want)
	}
}
