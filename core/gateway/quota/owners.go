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
	// An instance counts as unreachable after missedHeartbeats heartbeat intervals plus
	// heartbeatSlack without a message: one heartbeat may be lost, and a machine with a
	// fifth of a core sends heartbeats up to 0.3 s late.
	heartbeatSlack   = 300 * time.Millisecond
	missedHeartbeats = 2.5
	// zoneHeartbeatSlack is added to the mean time between the heartbeats of a zone: after
	// this time without any, the zone counts as unreachable. Loss of a whole zone is
	// detected sooner than that of a single instance, because until then both sides of
	// the partition grant the full rate.
	zoneHeartbeatSlack = 300 * time.Millisecond
	// memberExpiry is the time without a message after which an instance is considered
	// gone and its share of the rate goes to the others. Partitions usually end sooner.
	memberExpiry = 30 * time.Second
	// viewValidity is how long the view of the reachable instances is cached.
	viewValidity = 20 * time.Millisecond
	// ownerQueryTimeout bounds the time in which a starting instance asks the others
	// which accounts they own. Running instances reply to one of three queries, but the
	// rows of machines that were removed remain, so the timeout is often reached.
	ownerQueryTimeout = 250 * time.Millisecond
	// ownerQueryInterval is the time between two such queries.
	ownerQueryInterval = 100 * time.Millisecond
	// handoverRetention is how long a stopping instance includes its handovers in
	// heartbeats.
	handoverRetention = time.Second
)

// ownership is what an instance knows about the owner of an account.
type ownership struct {
	owner       string // "": not known
	epoch       uint64 // the highest known
	provisional bool
	// majoritySince is the time of this instance's claim, or the last time after it at
	// which less than half of the instances were reachable.
	majoritySince  clock.Time
	inheritedEpoch uint64 // epoch of the handover whose level was credited
}

func (l *Limiter) ownershipOf(account string) *ownership {
	o := l.ownerships[account]
	if o == nil {
		o = &ownership{}
		l.ownerships[account] = o
	}
	return o
}

// setOwner records the owner of an account.
func (l *Limiter) setOwner(account, owner string) {
	o := l.ownershipOf(account)
	if o.owner != "" {
		delete(l.ownedBy[o.owner], account)
	}
	o.owner = owner
	if owner == "" {
		return
	}
	if l.ownedBy[owner] == nil {
		l.ownedBy[owner] = make(map[string]bool)
	}
	l.ownedBy[owner][account] = true
}

// yieldsTo reports whether a claim takes precedence over the recorded one. A confirmed
// claim precedes a provisional one, then the higher epoch wins, then the lower name, so
// that all instances agree.
func (o *ownership) yieldsTo(c Claim, from string) bool {
	switch {
	case o.owner == "" || o.owner == from:
		return c.Epoch >= o.epoch || o.provisional
	case c.Provisional != o.provisional:
		return o.provisional
	case c.Epoch != o.epoch:
		return c.Epoch > o.epoch
	}
	return from < o.owner
}

// Claims returns the accounts that this instance owns, for its heartbeat.
func (l *Limiter) Claims() []Claim {
	var claims []Claim
	for _, name := range sortedKeys(l.buckets) {
		o := l.ownershipOf(name)
		claims = append(claims, Claim{Account: name, Epoch: o.epoch, Provisional: o.provisional})
	}
	return claims
}

// HandleClaims processes the claims in another instance's heartbeat.
func (l *Limiter) HandleClaims(now clock.Time, from string, claims []Claim) {
	l.markHeard(now, from)
	owned := make(map[string]bool, len(claims))
	for _, c := range claims {
		owned[c.Account] = true
		o := l.ownershipOf(c.Account)
		if !o.yieldsTo(c, from) {
			continue
		}
		if l.buckets[c.Account] != nil {
			l.dropOwnership(now, c.Account, from, c.Epoch)
		}
		l.setOwner(c.Account, from)
		o.epoch, o.provisional = c.Epoch, c.Provisional
	}
	for account := range maps.Clone(l.ownedBy[from]) {
		if !owned[account] {
			l.setOwner(account, "") // the owner was restarted or yielded to another claim
		}
	}
}

// markHeard records a message from an instance.
func (l *Limiter) markHeard(now clock.Time, name string) {
	l.lastHeard[name] = now
	delete(l.suspected, name)
}

// lastHeardFrom returns the arrival of an instance's last message; 0: never.
func (l *Limiter) lastHeardFrom(name string) clock.Time { return l.lastHeard[name] }

// claimOwnership makes this instance the owner of an account.
func (l *Limiter) claimOwnership(now clock.Time, account string, level float64) *bucket {
	o := l.ownershipOf(account)
	l.setOwner(account, l.settings.Self)
	v := l.currentView(now)
	o.epoch, o.majoritySince, o.provisional = o.epoch+1, now, v.reachableShare < 0.5
	if o.provisional {
		o.epoch-- // yields to an owner on the other side of the partition
	}
	b := &bucket{account: l.limitedAccount(account), rateShare: v.reachableShare, level: level, updated: now}
	l.buckets[account] = b
	l.claimsChanged = true
	return b
}

// dropOwnership ends this instance's ownership of an account. The queued requests are
// referred to the next owner.
func (l *Limiter) dropOwnership(now clock.Time, account, next string, epoch uint64) {
	b := l.buckets[account]
	delete(l.buckets, account)
	l.setOwner(account, next)
	for _, w := range withCallers(b.queue) {
		l.sendReply(now, w.request, AcquireReply{Verdict: NotOwner, Owner: next, Epoch: epoch})
	}
	for id, d := range l.decisions {
		if d.account == account {
			delete(l.decisions, id)
		}
	}
}

// Leave hands all accounts over because this instance stops. Without a live instance to
// take them over, it continues.
func (l *Limiter) Leave(now clock.Time) {
	if len(l.currentView(now).live) == 0 {
		return
	}
	l.leaving, l.handoverAt, l.claimsChanged = true, now, true
	l.view.at = 0
	for _, name := range sortedKeys(l.buckets) {
		b := l.buckets[name]
		b.refill(now)
		l.handovers = append(l.handovers, Handover{Account: name, Epoch: l.ownershipOf(name).epoch, Level: b.level})
		l.dropOwnership(now, name, "", 0)
	}
}

// Handovers returns the accounts that this instance has handed over, for its heartbeats.
func (l *Limiter) Handovers(now clock.Time) []Handover {
	if now.Sub(l.handoverAt) > handoverRetention {
		return nil
	}
	return l.handovers
}

// HandleHandovers processes the handovers of a stopping instance. The next owner continues
// with the level of the bucket, as the previous owner has granted nothing since.
func (l *Limiter) HandleHandovers(now clock.Time, from string, handovers []Handover) {
	for _, h := range handovers {
		o := l.ownershipOf(h.Account)
		if b := l.buckets[h.Account]; b != nil && o.epoch == h.Epoch+1 && o.inheritedEpoch != h.Epoch {
			o.inheritedEpoch = h.Epoch // claimed before the handover arrived
			b.credit(now, h.Level)
		}
		if l.limitedAccount(h.Account) == nil || h.Epoch < o.epoch {
			continue
		}
		o.epoch = h.Epoch
		if o.owner == from {
			l.setOwner(h.Account, "")
		}
		if o.owner == "" && l.preferredOwner(now, h.Account) == l.settings.Self {
			l.claimOwnership(now, h.Account, h.Level)
			o.inheritedEpoch = h.Epoch
		}
	}
}

// view is a cached view of the reachable instances.
type view struct {
	at             clock.Time
	live           map[string]bool
	strongest      []id.Instance // live instances of the highest strength, including this one
	reachableShare float64       // part of all instances that are heard
}

// currentView returns the reachable instances.
func (l *Limiter) currentView(now clock.Time) *view {
	if l.view.at != 0 && now.Sub(l.view.at) < viewValidity {
		return &l.view
	}
	others := l.activeMembers(now)
	timeout := time.Duration(missedHeartbeats*float64(l.settings.HeartbeatInterval(l.members.Count()))) + heartbeatSlack
	zones := l.reachableZones(now, others)
	v := view{at: now, live: make(map[string]bool)}
	strength := 0
	if !l.leaving {
		strength = l.settings.Strength
		v.strongest = append(v.strongest, id.Instance(l.settings.Self))
	}
	for _, o := range others {
		if now.Sub(l.lastHeardFrom(o.Name)) > timeout || !zones[o.Zone] {
			continue
		}
		v.live[o.Name] = true
		if o.Strength > strength || len(v.strongest) == 0 {
			v.strongest, strength = nil, o.Strength
		}
		if o.Strength == strength {
			v.strongest = append(v.strongest, id.Instance(o.Name))
		}
	}
	v.reachableShare = float64(len(v.live)+1) / float64(len(others)+1)
	l.view = v
	for name, b := range l.buckets {
		b.refill(now)
		b.rateShare = v.reachableShare
		l.confirmClaim(now, l.ownershipOf(name), v.reachableShare)
	}
	return &l.view
}

// confirmClaim confirms a claim that was made on the smaller side of a partition, if no
// other instance claims the account within two heartbeat intervals after its end.
func (l *Limiter) confirmClaim(now clock.Time, o *ownership, share float64) {
	switch {
	case !o.provisional:
	case share < 0.5:
		o.majoritySince = now
	case now.Sub(o.majoritySince) > 2*l.settings.HeartbeatInterval(l.members.Count()):
		o.provisional, l.claimsChanged = false, true
		o.epoch++
	}
}

// activeMembers returns the other instances that share the rate: those that sent a message
// within memberExpiry and are not leaving.
func (l *Limiter) activeMembers(now clock.Time) []*members.Member {
	return slices.DeleteFunc(l.members.All(now), func(o *members.Member) bool {
		return o.Leaving || l.lastHeardFrom(o.Name) == 0 || now.Sub(l.lastHeardFrom(o.Name)) > memberExpiry
	})
}

// reachableZones returns the zones from which a message arrived recently.
func (l *Limiter) reachableZones(now clock.Time, others []*members.Member) map[string]bool {
	size, lastHeard := make(map[string]int), make(map[string]clock.Time)
	for _, o := range others {
		size[o.Zone]++
		lastHeard[o.Zone] = max(lastHeard[o.Zone], l.lastHeardFrom(o.Name))
	}
	interval := l.settings.HeartbeatInterval(l.members.Count())
	reachable := make(map[string]bool)
	for zone, at := range lastHeard {
		reachable[zone] = now.Sub(at) <= zoneHeartbeatSlack+interval/time.Duration(size[zone])
	}
	return reachable
}

// preferredOwner returns the instance that should own an account without an owner, among
// those that are reachable and not suspected.
func (l *Limiter) preferredOwner(now clock.Time, account string) string {
	candidates := l.currentView(now).strongest
	if len(l.suspected) > 0 {
		candidates = slices.DeleteFunc(slices.Clone(candidates), func(i id.Instance) bool { return l.isSuspected(string(i)) })
	}
	if len(candidates) == 0 {
		return l.preferredLiveInstance(now, account)
	}
	return string(rendezvous.Owner(account, candidates))
}

// preferredLiveInstance returns the preferred owner when none of the strongest instances
// is left.
func (l *Limiter) preferredLiveInstance(now clock.Time, account string) string {
	var candidates []id.Instance
	for name := range l.currentView(now).live {
		if !l.isSuspected(name) {
			candidates = append(candidates, id.Instance(name))
		}
	}
	if !l.leaving || len(candidates) == 0 {
		candidates = append(candidates, id.Instance(l.settings.Self))
	}
	return string(rendezvous.Owner(account, candidates))
}

func (l *Limiter) isSuspected(name string) bool {
	_, suspected := l.suspected[name]
	return suspected
}

// ownerToAsk returns the instance to ask for an account's tokens.
func (l *Limiter) ownerToAsk(now clock.Time, account string) string {
	o := l.ownershipOf(account)
	if o.owner == l.settings.Self || o.owner != "" && l.currentView(now).live[o.owner] && !l.isSuspected(o.owner) {
		return o.owner
	}
	return l.preferredOwner(now, account)
}

// MembersListed records that the other instances were read from their rows in the store.
func (l *Limiter) MembersListed(now clock.Time) {
	if l.membersListedAt == 0 {
		l.membersListedAt = now
	}
	l.queryOwners(now)
}

// queryOwners asks the instances that have not sent a message yet which accounts they
// own. Until all have replied or ownerQueryTimeout has passed, this instance claims
// nothing, since it does not know which accounts have an owner.
func (l *Limiter) queryOwners(now clock.Time) {
	if l.ownersKnown || l.membersListedAt == 0 || l.lastQueryAt != 0 && now.Sub(l.lastQueryAt) < ownerQueryInterval {
		return
	}
	l.lastQueryAt = now
	unheard := 0
	for _, o := range l.members.All(now) {
		if l.lastHeardFrom(o.Name) == 0 {
			unheard++
			l.send(Message{To: o.Name, Ping: true})
		}
	}
	l.ownersKnown = unheard == 0 || now.Sub(l.membersListedAt) >= ownerQueryTimeout
}

// claimUnowned claims the accounts whose owner is unreachable or that have none, if this
// instance is their preferred owner.
func (l *Limiter) claimUnowned(now clock.Time) {
	if !l.ownersKnown || l.leaving {
		return
	}
	v := l.currentView(now)
	for _, name := range sortedKeys(l.accounts) {
		o := l.ownershipOf(name)
		if l.limitedAccount(name) == nil || o.owner == l.settings.Self || v.live[o.owner] {
			continue
		}
		if l.preferredOwner(now, name) == l.settings.Self {
			l.claimOwnership(now, name, 0)
		}
	}
}

func sortedKeys[K interface{ ~string | ~uint64 }, V any](all map[K]V) []K {
	return slices.Sorted(maps.Keys(all))
}
