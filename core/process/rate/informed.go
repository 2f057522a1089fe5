package rate

// Ready reports whether the limiter holds a slot or knows a holder to borrow
// from. Until then it can only refuse requests, even of accounts that have
// tokens left, so the instance must not accept calls yet.
func (lim *Limiter) Ready() bool { return len(lim.slots) > 0 || len(lim.directory) > 0 }
