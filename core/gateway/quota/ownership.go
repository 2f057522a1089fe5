package quota

import (
	"maps"
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/members"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/process/rendezvous"
)

const (
	// silenceSlack beyond two and a half heartbeats is when an instance counts
	// as silent: one of them may be lost, and a machine with a fifth of a core
	// sends them up to 0.3 s late.
	silenceSlack = 300 * time.Millisecond
	silenceBeats = 2.5 // intervals between heartbeats
	// zoneSilence beyond the mean time between the messages of a zone is when
	// the zone counts as cut off. A whole zone is noticed sooner than a single
	// instance: until then both sides grant the whole rate.
	zoneSilence = 300 * time.Millisecond
	// forgottenAfter is when an instance that is not heard is taken to be gone,
	// and its part of the rate is the others'. Partitions end sooner as a rule.
	forgottenAfter = 30 * time.Second
	// viewFor is how long the picture of who is heard is kept.
	viewFor = 20 * time.Millisecond
	// learnFor bounds the time in which an instance that started asks the others
	// what they own. Those that are up answer one of three questions; rows of
	// machines that are gone for good stay, so it is often used up.
	learnFor = 250 * time.Millisecond
	// learnAgain is the time between two such questions.
	learnAgain = 100 * time.Millisecond
	// handoverFor is how long an instance that stops tells what it leaves.
	handoverFor = time.Second
)

// record is what an instance knows of who owns an account.
type record struct {
	owner       string // "": not known
	epoch       uint64 // the highest heard
	provisional bool
	since       clock.Time // this instance's own claim may be confirmed
	inherited   uint64     // epoch of the owner whose bucket was taken over
}

func (m *Limiter) record(account string) *record {
	r := m.records[account]
	if r == nil {
		r = &record{}
		m.records[account] = r
	}
	return r
}

// setOwner records the owner of an account.
func (m *Limiter) setOwner(account, owner string) {
	r := m.record(account)
	if r.owner != "" {
		delete(m.ownedBy[r.owner], account)
	}
	r.owner = owner
	if owner == "" {
		return
	}
	if m.ownedBy[owner] == nil {
		m.ownedBy[owner] = make(map[string]bool)
	}
	m.ownedBy[owner][account] = true
}

// wins reports whether a claim goes before the one that is recorded: a firm one
// before a provisional one, then the later owner, then the name, so that all
// agree.
func (r *record) wins(c Claim, from string) bool {
	switch {
	case r.owner == "" || r.owner == from:
		return c.Epoch >= r.epoch || r.provisional
	case c.Provisional != r.provisional:
		return r.provisional
	case c.Epoch != r.epoch:
		return c.Epoch > r.epoch
	}
	return from < r.owner
}

// Claims returns what this instance owns, for its heartbeat.
func (m *Limiter) Claims() []Claim {
	var all []Claim
	for _, name := range sortedKeys(m.buckets) {
		r := m.record(name)
		all = append(all, Claim{Account: name, Epoch: r.epoch, Provisional: r.provisional})
	}
	return all
}

// HandleClaims takes what another instance owns, as its heartbeat says.
func (m *Limiter) HandleClaims(now clock.Time, from string, claims []Claim) {
	m.touch(now, from)
	owned := make(map[string]bool, len(claims))
	for _, c := range claims {
		owned[c.Account] = true
		r := m.record(c.Account)
		if !r.wins(c, from) {
			continue
		}
		if m.buckets[c.Account] != nil {
			m.drop(now, c.Account, from, c.Epoch)
		}
		m.setOwner(c.Account, from)
		r.epoch, r.provisional = c.Epoch, c.Provisional
	}
	for account := range maps.Clone(m.ownedBy[from]) {
		if !owned[account] {
			m.setOwner(account, "") // it was started again, or gave way
		}
	}
}

// touch notes that an instance was heard.
func (m *Limiter) touch(now clock.Time, name string) {
	m.touched[name] = now
	delete(m.doubted, name)
}

// heard is when an instance was last heard; 0: never.
func (m *Limiter) heard(name string) clock.Time { return m.touched[name] }

// claim makes this instance the owner of an account.
func (m *Limiter) claim(now clock.Time, account string, level float64) *bucket {
	r := m.record(account)
	m.setOwner(account, m.set.Self)
	v := m.look(now)
	r.epoch, r.since, r.provisional = r.epoch+1, now, v.share < 0.5
	if r.provisional {
		r.epoch-- // gives way to whoever owns it on the other side
	}
	b := &bucket{account: m.limited(account), share: v.share, level: level, updated: now}
	m.buckets[account] = b
	m.untold = true
	return b
}

// drop ends the ownership of an account; those that wait ask the next owner.
func (m *Limiter) drop(now clock.Time, account, next string, epoch uint64) {
	b := m.buckets[account]
	delete(m.buckets, account)
	m.setOwner(account, next)
	for _, w := range b.queue {
		m.answer(now, w.ask, AcquireReply{Verdict: NotOwner, Owner: next, Epoch: epoch})
	}
	for id, d := range m.memory {
		if d.account == account {
			delete(m.memory, id)
		}
	}
}

// Leave hands all accounts over: this instance stops. With nobody to take them
// it goes on.
func (m *Limiter) Leave(now clock.Time) {
	if len(m.look(now).live) == 0 {
		return
	}
	m.leaving, m.handedAt, m.untold = true, now, true
	m.view.at = 0
	for _, name := range sortedKeys(m.buckets) {
		b := m.buckets[name]
		b.refill(now)
		m.handed = append(m.handed, Handover{Account: name, Epoch: m.record(name).epoch, Level: b.level})
		m.drop(now, name, "", 0)
	}
}

// Handovers returns what this instance left to others, for its heartbeats.
func (m *Limiter) Handovers(now clock.Time) []Handover {
	if now.Sub(m.handedAt) > handoverFor {
		return nil
	}
	return m.handed
}

// HandleHandovers takes what an instance that stops leaves. The next owner goes
// on with its level: the old one has granted nothing since.
func (m *Limiter) HandleHandovers(now clock.Time, from string, left []Handover) {
	for _, h := range left {
		r := m.record(h.Account)
		if b := m.buckets[h.Account]; b != nil && r.epoch == h.Epoch+1 && r.inherited != h.Epoch {
			r.inherited = h.Epoch // claimed before this was heard
			b.put(now, h.Level)
		}
		if m.limited(h.Account) == nil || h.Epoch < r.epoch {
			continue
		}
		r.epoch = h.Epoch
		if r.owner == from {
			m.setOwner(h.Account, "")
		}
		if r.owner == "" && m.top(now, h.Account) == m.set.Self {
			m.claim(now, h.Account, h.Level)
			r.inherited = h.Epoch
		}
	}
}

// view is who is heard.
type view struct {
	at    clock.Time
	live  map[string]bool
	best  []id.Instance // the strongest of them, this one included
	share float64       // part of all instances that are heard
}

// look returns who is heard now.
func (m *Limiter) look(now clock.Time) *view {
	if m.view.at != 0 && now.Sub(m.view.at) < viewFor {
		return &m.view
	}
	all := m.counted(now)
	silence := time.Duration(silenceBeats*float64(m.set.HeartbeatInterval(m.members.Count()))) + silenceSlack
	zones := m.zonesHeard(now, all)
	v := view{at: now, live: make(map[string]bool)}
	strongest := 0
	if !m.leaving {
		strongest = m.set.Strength
		v.best = append(v.best, id.Instance(m.set.Self))
	}
	for _, o := range all {
		if now.Sub(m.heard(o.Name)) > silence || !zones[o.Zone] {
			continue
		}
		v.live[o.Name] = true
		if o.Strength > strongest || len(v.best) == 0 {
			v.best, strongest = nil, o.Strength
		}
		if o.Strength == strongest {
			v.best = append(v.best, id.Instance(o.Name))
		}
	}
	v.share = float64(len(v.live)+1) / float64(len(all)+1)
	m.view = v
	for name, b := range m.buckets {
		b.refill(now)
		b.share = v.share
		m.confirm(now, m.record(name), v.share)
	}
	return &m.view
}

// confirm makes a claim firm that was made by the smaller side of a partition,
// if nobody says a heartbeat after the partition that it owns the account.
func (m *Limiter) confirm(now clock.Time, r *record, share float64) {
	switch {
	case !r.provisional:
	case share < 0.5:
		r.since = now
	case now.Sub(r.since) > 2*m.set.HeartbeatInterval(m.members.Count()):
		r.provisional, m.untold = false, true
		r.epoch++
	}
}

// counted returns the instances that the rate is shared with: those that were
// heard of late and don't leave.
func (m *Limiter) counted(now clock.Time) []*members.Member {
	return slices.DeleteFunc(m.members.All(now), func(o *members.Member) bool {
		return o.Leaving || m.heard(o.Name) == 0 || now.Sub(m.heard(o.Name)) > forgottenAfter
	})
}

// zonesHeard returns the zones of which an instance was heard a moment ago.
func (m *Limiter) zonesHeard(now clock.Time, all []*members.Member) map[string]bool {
	size, last := make(map[string]int), make(map[string]clock.Time)
	for _, o := range all {
		size[o.Zone]++
		last[o.Zone] = max(last[o.Zone], m.heard(o.Name))
	}
	interval := m.set.HeartbeatInterval(m.members.Count())
	heard := make(map[string]bool)
	for zone, at := range last {
		heard[zone] = now.Sub(at) <= zoneSilence+interval/time.Duration(size[zone])
	}
	return heard
}

// top returns the instance that should own an account if nobody does, of those
// that are heard and not doubted; "" if there is none.
func (m *Limiter) top(now clock.Time, account string) string {
	best := m.look(now).best
	if len(m.doubted) > 0 {
		best = slices.DeleteFunc(slices.Clone(best), func(i id.Instance) bool { return m.doubts(string(i)) })
	}
	if len(best) == 0 {
		return m.anyLive(now, account)
	}
	return string(rendezvous.Owner(account, best))
}

// anyLive is the owner when none of the strongest instances is left.
func (m *Limiter) anyLive(now clock.Time, account string) string {
	var rest []id.Instance
	for name := range m.look(now).live {
		if !m.doubts(name) {
			rest = append(rest, id.Instance(name))
		}
	}
	if !m.leaving || len(rest) == 0 {
		rest = append(rest, id.Instance(m.set.Self))
	}
	return string(rendezvous.Owner(account, rest))
}

func (m *Limiter) doubts(name string) bool {
	_, doubted := m.doubted[name]
	return doubted
}

// ownerOf returns whom to ask for an account.
func (m *Limiter) ownerOf(now clock.Time, account string) string {
	r := m.record(account)
	if r.owner == m.set.Self || r.owner != "" && m.look(now).live[r.owner] && !m.doubts(r.owner) {
		return r.owner
	}
	return m.top(now, account)
}

// MembersListed says that the other instances were read from their rows.
func (m *Limiter) MembersListed(now clock.Time) {
	if m.joined == 0 {
		m.joined = now
	}
	m.learn(now)
}

// learn asks those that were never heard what they own. Until it has heard all
// or asked for long enough, an instance owns nothing: it would not know that
// others do.
func (m *Limiter) learn(now clock.Time) {
	if m.learned || m.joined == 0 || m.askedLast != 0 && now.Sub(m.askedLast) < learnAgain {
		return
	}
	m.askedLast = now
	missing := 0
	for _, o := range m.members.All(now) {
		if m.heard(o.Name) == 0 {
			missing++
			m.send(Message{To: o.Name, Ping: true})
		}
	}
	m.learned = missing == 0 || now.Sub(m.joined) >= learnFor
}

// takeOver claims the accounts whose owner is silent, or that have none, if this
// instance is the one that should own them.
func (m *Limiter) takeOver(now clock.Time) {
	if !m.learned || m.leaving {
		return
	}
	v := m.look(now)
	for _, name := range sortedKeys(m.accounts) {
		r := m.record(name)
		if m.limited(name) == nil || r.owner == m.set.Self || v.live[r.owner] {
			continue
		}
		if m.top(now, name) == m.set.Self {
			m.claim(now, name, 0)
		}
	}
}

func sortedKeys[K interface{ ~string | ~uint64 }, V any](all map[K]V) []K {
	return slices.Sorted(maps.Keys(all))
}
