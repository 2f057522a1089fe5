// Package catalog decides how an instance gets the entries of all backend servers: in which
// pages it reads them, which of them are newer than what it knows, and whether it reads the
// store or asks another instance of its zone.
//
// It addresses the start of many instances at once: when 300 instances read 3,000 entries
// each, the reads took longer than the timeout of a whole read, were given up and repeated,
// and no instance served within 30 s.
package catalog

import "oleanderdale.org/core/gateway/revision"

// Read is the progress of a complete read, page by page. A page that fails is read again;
// the pages before it stay valid. The zero value is a read that has not begun.
type Read struct {
	began   bool
	at      revision.Revision
	next    string
	present map[string]bool
	pages   int
}

// PageResult says what a page means for the read that it belongs to.
type PageResult int

// Results of a page.
const (
	More     PageResult = iota // read the page that begins at Next
	Complete                   // all entries are read
	Restart                    // the page is of another state of the source; the read begins anew
)

// Next returns where the next page begins; "" is the first page.
func (r *Read) Next() string { return r.next }

// Pages returns the number of pages read.
func (r *Read) Pages() int { return r.pages }

// At returns the revision of the first page. Changes after it are not all included, so a
// watch for changes continues here.
func (r *Read) At() revision.Revision { return r.at }

// Includes reports whether the entry of a server that is known as of a revision belongs to
// the pages so far: it is in one of them, or was written since.
func (r *Read) Includes(id string, known revision.Revision) bool {
	return r.present[id] || r.at.Before(known) && id < r.next
}

// Present reports whether any page so far contains the entry.
func (r *Read) Present(id string) bool { return r.present[id] }

// Count returns the number of entries in the pages so far.
func (r *Read) Count() int { return len(r.present) }

// HandlePage records a page that begins at Next, with the entries ids, the revision of its
// source and where the following page begins; next is "" for the last page. After Restart
// the page is not part of the read.
func (r *Read) HandlePage(ids []string, at revision.Revision, next string) PageResult {
	switch {
	case !r.began:
		*r = Read{began: true, at: at, present: make(map[string]bool)}
	case at.Era != r.at.Era || at.Before(r.at):
		*r = Read{}
		return Restart
	}
	for _, id := range ids {
		r.present[id] = true
	}
	r.pages++
	if r.next = next; next == "" {
		return Complete
	}
	return More
}
