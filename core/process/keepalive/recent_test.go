package keepalive

import (
	"testing"
	"time"
)

func TestEvictLRU(t *testing.T) {
	p := EvictLRU{Policy: NewHistogram(Settings{})}
	longIdle := p.EvictionCost(IdleArtifact{Artifact: "a", Bytes: 1, LoadTime: time.Hour, IdleTime: 2 * time.Minute})
	shortIdle := p.EvictionCost(IdleArtifact{Artifact: "b", Bytes: 1 << 40, LoadTime: time.Second, IdleTime: time.Minute})
	if longIdle >= shortIdle {
		t.Errorf("idle for 2 min: cost %g, for 1 min: %g; the longer idle one must be evicted first", longIdle, shortIdle)
	}
	if got, want := p.KeepTime(IdleArtifact{Artifact: "a"}), NewHistogram(Settings{}).KeepTime(IdleArtifact{Artifact: "a"}); got != want {
		t.Errorf("keep time %s, the wrapped policy says %s", got, want)
	}
}
