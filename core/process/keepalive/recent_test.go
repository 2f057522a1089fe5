package keepalive

import (
	"testing"
	"time"
)

func TestEvictOldest(t *testing.T) {
	p := EvictLRU{Policy: NewHistogram(Settings{})}
	long := p.EvictionCost(IdleArtifact{Artifact: "a", Bytes: 1, LoadTime: time.Hour, IdleTime: 2 * time.Minute})
	short := p.EvictionCost(IdleArtifact{Artifact: "b", Bytes: 1 << 40, LoadTime: time.Second, IdleTime: time.Minute})
	if long >= short {
		t.Errorf("idle for 2 min: loss %g, for 1 min: %g; the longer idle one must go first", long, short)
	}
	if got, want := p.KeepTime(IdleArtifact{Artifact: "a"}), NewHistogram(Settings{}).KeepTime(IdleArtifact{Artifact: "a"}); got != want {
		t.Errorf("keeps %s, the policy below says %s", got, want)
	}
}
