package rate

// Informed reports whether the holder has tokens of its own or knows somebody
// to draw from. Before that it can only refuse, whatever the account has left:
// an instance that took calls so early would turn honest callers away.
func (h *Limiter) Ready() bool { return len(h.slots) > 0 || len(h.directory) > 0 }
