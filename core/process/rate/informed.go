package rate

// Informed reports whether the holder has tokens of its own or knows somebody
// to draw from. Before that it can only refuse, whatever the account has left:
// an instance that took calls so early would turn honest callers away.
func (lim *Limiter) Ready() bool { return len(lim.slots) > 0 || len(lim.directory) > 0 }
