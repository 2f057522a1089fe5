package badcallers

import (
	"bufio"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// sampleInterval is the time between two samples of a Watch.
const sampleInterval = 25 * time.Millisecond

// Usage is what a process holds.
type Usage struct {
	Resident    int64 // bytes of memory
	Unread      int64 // bytes that the kernel has received for the process and that it has not read
	Descriptors int
}

// Memory returns the bytes that count against the memory of a machine.
func (u Usage) Memory() int64 { return u.Resident + u.Unread }

// String implements fmt.Stringer.
func (u Usage) String() string {
	return fmt.Sprintf("%d MB resident, %d MB unread, %d descriptors", u.Resident>>20, u.Unread>>20, u.Descriptors)
}

// Measure returns what a process holds that listens for callers at an address.
func Measure(pid int, address string) (Usage, error) {
	status, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	if err != nil {
		return Usage{}, errors.Wrap(err, "badcallers: memory")
	}
	u := Usage{Resident: resident(string(status))}
	entries, err := os.ReadDir(filepath.Join("/proc", strconv.Itoa(pid), "fd"))
	if err != nil {
		return Usage{}, errors.Wrap(err, "badcallers: descriptors")
	}
	u.Descriptors = len(entries)
	u.Unread, err = unread(address, sockets(pid, entries))
	return u, err
}

// sockets returns the inodes of a process's sockets.
func sockets(pid int, entries []os.DirEntry) map[string]bool {
	inodes := make(map[string]bool, len(entries))
	for _, e := range entries {
		target, err := os.Readlink(filepath.Join("/proc", strconv.Itoa(pid), "fd", e.Name()))
		if err != nil {
			continue // closed since
		}
		if inode, ok := strings.CutPrefix(target, "socket:["); ok {
			inodes[strings.TrimSuffix(inode, "]")] = true
		}
	}
	return inodes
}

// resident returns the resident memory in the status of a process.
func resident(status string) int64 {
	var kb int64
	for line := range strings.Lines(status) {
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kb); err == nil {
			return kb << 10
		}
	}
	return 0
}

// Of /proc/net/tcp.
const (
	stateListen = "0A"
	inodeField  = 9
)

// unread returns the bytes that were received and not read, at an address, accepted or not, and by sockets of a process.
func unread(address string, inodes map[string]bool) (int64, error) {
	local, err := procAddress(address)
	if err != nil {
		return 0, err
	}
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0, errors.Wrap(err, "badcallers: connections")
	}
	defer func() { _ = f.Close() }()
	total := int64(0)
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) <= inodeField || fields[3] == stateListen || fields[1] != local && !inodes[fields[inodeField]] {
			continue
		}
		_, received, _ := strings.Cut(fields[4], ":")
		n, err := strconv.ParseInt(received, 16, 64)
		if err != nil {
			return 0, errors.Wrap(err, "badcallers: connections")
		}
		total += n
	}
	return total, errors.Wrap(lines.Err(), "badcallers: connections")
}

// procAddress returns an address as /proc/net/tcp has it on a little-endian machine.
func procAddress(address string) (string, error) {
	a, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return "", errors.Wrap(err, "badcallers: address")
	}
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], binary.LittleEndian.Uint32(a.IP.To4()))
	return strings.ToUpper(hex.EncodeToString(b[:])) + fmt.Sprintf(":%04X", a.Port), nil
}

// Watch follows what a process holds.
type Watch struct {
	stop    chan struct{}
	running sync.WaitGroup
	peak    Usage
	err     error
}

// StartWatch watches a process that listens for callers at an address.
func StartWatch(pid int, address string) *Watch {
	w := &Watch{stop: make(chan struct{})}
	w.running.Go(func() {
		for w.sample(pid, address) {
			select {
			case <-w.stop:
				return
			case <-time.After(sampleInterval):
			}
		}
	})
	return w
}

// sample updates the peak. It reports whether the process could be measured.
func (w *Watch) sample(pid int, address string) bool {
	u, err := Measure(pid, address)
	if err != nil {
		w.err = err
		return false
	}
	if u.Memory() > w.peak.Memory() {
		w.peak.Resident, w.peak.Unread = u.Resident, u.Unread
	}
	w.peak.Descriptors = max(w.peak.Descriptors, u.Descriptors)
	return true
}

// Stop ends the watch. It returns the most memory held at one moment and the most descriptors, or an error if the
// process has ended.
func (w *Watch) Stop() (Usage, error) {
	close(w.stop)
	w.running.Wait()
	return w.peak, w.err
}
