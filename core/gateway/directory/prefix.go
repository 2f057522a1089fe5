package directory

import (
	"slices"

	"oleanderdale.org/core/clock"
)

// prefixCacheShare is the part of an engine's cache that is assumed to keep shared prompt
// prefixes. The rest is for the requests that run.
const prefixCacheShare = 0.5

// Prompt is the prompt of a request that is sent to a server.
type Prompt struct {
	Model  string
	Tokens int // 0: unknown
	// Affinity is a hash of the prefix that other prompts share, SharedTokens its length; 0:
	// none.
	Affinity     uint64
	SharedTokens int
}

// Prompt returns the prompt of the request.
func (r Requirements) Prompt() Prompt {
	return Prompt{Model: r.Model, Tokens: r.PromptTokens, Affinity: r.Affinity, SharedTokens: min(r.SharedTokens, r.PromptTokens)}
}

// cachedPrefix is a prefix that a server has read lately.
type cachedPrefix struct {
	model    string
	affinity uint64
	tokens   int
}

// SetCacheTokens sets the number of tokens that the cache of one engine holds, by group.
func (d *Directory) SetCacheTokens(byGroup map[string]int) { d.cacheTokens = byGroup }

// SendPrompt records that a prompt is sent to a server, and returns how many of its tokens the
// server has to read: its prefix is expected in the server's cache if the server got it lately.
func (d *Directory) SendPrompt(id string, p Prompt) (unread int) {
	s := d.servers[id]
	if s == nil || !d.loadScheduling || p.Affinity == 0 || p.SharedTokens <= 0 {
		return p.Tokens
	}
	unread = p.Tokens - s.cachedTokens(p)
	s.prefixes = slices.DeleteFunc(s.prefixes, func(c cachedPrefix) bool { return c.affinity == p.Affinity })
	s.prefixes = append(s.prefixes, cachedPrefix{model: p.Model, affinity: p.Affinity, tokens: p.SharedTokens})
	s.evictPrefixes(int(prefixCacheShare * float64(d.cacheTokens[s.Group])))
	return unread
}

// evictPrefixes forgets the least recently used prefixes beyond a number of tokens.
func (s *Server) evictPrefixes(capacity int) {
	kept := len(s.prefixes)
	for total := 0; kept > 0; kept-- {
		if total += s.prefixes[kept-1].tokens; total > capacity {
			break
		}
	}
	s.prefixes = slices.Delete(s.prefixes, 0, kept)
}

// cachedTokens returns how many tokens of a prompt are expected in the server's cache.
func (s *Server) cachedTokens(p Prompt) int {
	for _, c := range s.prefixes {
		if c.affinity == p.Affinity && p.Affinity != 0 {
			return min(c.tokens, p.SharedTokens)
		}
	}
	return 0
}

// forgetUnloaded forgets the prefixes of models that the server has no longer loaded: an
// unload empties their cache.
func (s *Server) forgetUnloaded() {
	s.prefixes = slices.DeleteFunc(s.prefixes, func(c cachedPrefix) bool {
		_, loaded := s.LoadedModel(c.model)
		return !loaded
	})
}

// knowsPrefix reports whether the length of the shared prefix of a request is known.
func (d *Directory) knowsPrefix(req Requirements) bool {
	return d.loadScheduling && req.Affinity != 0 && req.Prompt().SharedTokens > 0
}

// pickFirst returns the server for a request by its shared prefix, if it has one of known
// length, else by load.
func (d *Directory) pickFirst(now clock.Time, servers []*Server, req Requirements) (*Server, Reason) {
	if s := d.pickByPrefix(now, servers, req); s != nil {
		return s, ByPrompt
	}
	return d.pickLeastLoaded(now, servers, req), ByLoad
}

// pickByPrefix returns the eligible server on which the first event of a request with a shared
// prefix is expected first: one that has the prefix in its cache, unless others are faster
// although they have to read it. It returns nil if the length of the prefix is unknown. By
// affinity alone, such requests went to one server whatever its pace, and their second choice
// did not have the prefix although a third server did.
func (d *Directory) pickByPrefix(now clock.Time, eligible []*Server, req Requirements) *Server {
	if !d.knowsPrefix(req) {
		return nil
	}
	p := req.Prompt()
	var best *Server
	var leastDelay float64
	for _, s := range eligible {
		delay := d.firstEventWork(now, s, req, p)
		if best == nil || delay < leastDelay || delay == leastDelay && s.lastUsed < best.lastUsed {
			best, leastDelay = s, delay
		}
	}
	return best
}

// firstEventWork returns the work that a server does before the first event of a request, in
// requests at the usual pace.
func (d *Directory) firstEventWork(now clock.Time, s *Server, req Requirements, p Prompt) float64 {
	unread := float64(p.Tokens - s.cachedTokens(p))
	work := (s.Work(now) + 1 + unread/tokensPerRequest) * d.PaceFactor(now, s)
	if s.Zone != req.Zone {
		work += crossZonePenalty
	}
	return work
}
