// Package fleet drives the cores of several entry instances in virtual time
// against small fakes of what lies beyond their effects: the table service,
// the network between instances, the instance list, engines and plain
// services. One seed gives one run, byte for byte.
//
// The fakes count what really happened on the far side; Check compares that
// with what callers were told. Nothing in here knows how the cores decide.
package fleet

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/config"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/instance"
	"oleanderdale.org/core/invariant"
	"oleanderdale.org/core/process/keepalive"
	"oleanderdale.org/core/process/placement"
	"oleanderdale.org/core/request/queue"
)

// Settings of a Fleet.
type Settings struct {
	Seed             uint64
	Config           *config.Config
	InstancesPerZone int // entry instances in each zone
	// ZoneInstances, if set, is the number of entry instances by zone.
	InstancesByZone []int
	EnginesPerZone  int // in each zone
	ServicesPerZone int // in each zone

	LeaseTerm   time.Duration
	DrainDelay  time.Duration
	GracePeriod time.Duration
	Placement   placement.Settings
	Queue       queue.Settings
	// Policy, if set, makes the keep-alive policy of each instance.
	Policy func() keepalive.Policy

	TokenTime time.Duration // of the engines
	// NoFencing makes engines ignore fencing numbers, whatever the group says.
	IgnoreFencing bool
	// ClocksStop makes the clock of a paused node stand still, as one does that
	// leaves out the time for which its machine is suspended.
	ClockStopsWhilePaused bool
	// Replace is after how long the platform starts an instance anew that ended
	// by itself without being asked to; 0: never.
	RestartDelay time.Duration
	// Trace is told every event and effect, if set.
	Trace func(line string)
	// Check is used by the cores; nil panics on a violation.
	Checker *invariant.Checker
	// OnDispatch, if set, is told of each attempt before it is under way.
	OnDispatch func(n *Node, c *Call)
}

// Latencies of the fakes.
const (
	inZoneLatency    = 500 * time.Microsecond
	crossZoneLatency = time.Millisecond
	tableLatency     = 3 * time.Millisecond
	backendLatency   = 400 * time.Microsecond
	listInterval     = time.Second
	listDelay        = 2 * time.Second
	decodeTime       = time.Millisecond
)

// Fleet is the whole run.
type Fleet struct {
	Settings
	now            clock.Time
	random         *rand.Rand
	tasks          taskQueue
	taskSeq        uint64
	Nodes          []*Node
	Table          *Table
	Network        *Network
	Servers        []*Server
	serverByName   map[id.Backend]*Server
	WeightStore    *WeightStore
	Calls          []*Call
	callByID       map[id.Request]*Call
	nodeByName     map[id.Instance]*Node // by the names of machines and of runs
	violations     []string
	zones          []id.Zone
	objects        map[id.Digest][]byte
	startCount     int
	accountHistory []config.Account // that accounts had during the run
	TasksRun       int
}

// task is something that happens at a time.
type task struct {
	at  clock.Time
	seq uint64
	run func()
}

type taskQueue []task

func (a taskQueue) Len() int { return len(a) }
func (a taskQueue) Less(i, j int) bool {
	return a[i].at < a[j].at || (a[i].at == a[j].at && a[i].seq < a[j].seq)
}
func (a taskQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push implements heap.Interface.
func (a *taskQueue) Push(x any) { *a = append(*a, x.(task)) }

// Pop implements heap.Interface.
func (a *taskQueue) Pop() any {
	old := *a
	t := old[len(old)-1]
	old[len(old)-1] = task{}
	*a = old[:len(old)-1]
	return t
}

// New returns a fleet with all instances started and the configuration in the
// table.
func New(s Settings) *Fleet {
	f := &Fleet{
		Settings: s, random: rand.New(rand.NewPCG(s.Seed, s.Seed^0x9e3779b97f4a7c15)),
		callByID: make(map[id.Request]*Call), nodeByName: make(map[id.Instance]*Node), serverByName: make(map[id.Backend]*Server), zones: s.Config.Fleet.Zones, objects: make(map[id.Digest][]byte),
	}
	f.Table = newTable(f)
	f.Network = newNetwork(f)
	f.WeightStore = newWeightStore(f)
	f.addServers()
	f.Publish(s.Config)
	for _, name := range slices.Sorted(maps.Keys(s.Config.Accounts)) {
		f.accountHistory = append(f.accountHistory, s.Config.Accounts[name])
	}
	for k, z := range f.zones {
		count := s.InstancesPerZone
		if k < len(s.InstancesByZone) {
			count = s.InstancesByZone[k]
		}
		for n := range count {
			f.Nodes = append(f.Nodes, &Node{fleet: f, Name: fmt.Sprintf("%s-%d", z, n+1), Zone: z})
		}
	}
	for _, n := range f.Nodes {
		n.start()
	}
	return f
}

// Now returns the virtual time since the start.
func (f *Fleet) Now() time.Duration { return time.Duration(f.now) }

// after plans do for d from now.
func (f *Fleet) schedule(d time.Duration, do func()) {
	f.taskSeq++
	heap.Push(&f.tasks, task{at: f.now.Add(max(d, 0)), seq: f.taskSeq, run: do})
}

// After plans do, for tests.
func (f *Fleet) After(d time.Duration, do func()) { f.schedule(d, do) }

// Run lets d of virtual time pass.
func (f *Fleet) Run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.tasks) > 0 && f.tasks[0].at <= end {
		t := heap.Pop(&f.tasks).(task)
		f.now = t.at
		f.TasksRun++
		t.run()
	}
	f.now = end
}

// jitter returns d, and up to half as much again.
func (f *Fleet) jitter(d time.Duration) time.Duration {
	return d + time.Duration(f.random.Int64N(int64(d)/2+1))
}

func (f *Fleet) addViolation(format string, args ...any) {
	if len(f.violations) < 50 {
		f.violations = append(f.violations, fmt.Sprintf("%s: ", f.Now())+fmt.Sprintf(format, args...))
	}
}

func (f *Fleet) trace(format string, args ...any) {
	if f.Trace != nil {
		f.Trace(fmt.Sprintf("%d ", f.now) + fmt.Sprintf(format, args...))
	}
}

// members is what the instance list shows at the moment.
func (f *Fleet) instanceList() []event.Member {
	var all []event.Member
	for _, n := range f.Nodes {
		if n.core != nil {
			all = append(all, event.Member{Name: n.Name, Address: n.Name, Zone: n.Zone})
		}
	}
	for _, s := range f.Servers {
		if !s.removed {
			all = append(all, event.Member{Name: string(s.Name), Address: string(s.Name), Zone: s.Zone, Group: s.Group.Name, Leaving: s.listedAsLeaving})
		}
	}
	return all
}

// core builds the core of one run of a node.
func (f *Fleet) newCore(n *Node) *instance.Instance {
	p := f.Placement
	if f.Policy != nil {
		p.Policy = f.Policy()
	}
	return instance.New(instance.Settings{
		Instance: n.ID, Zone: n.Zone, Address: n.Name,
		LeaseTerm: f.LeaseTerm, DrainDelay: f.DrainDelay, Grace: f.GracePeriod, Placement: p, Queue: f.Queue,
	}, f.Checker)
}

// zoneNodes returns the nodes of a zone.
func (f *Fleet) zoneNodes(z id.Zone) []*Node {
	var all []*Node
	for _, n := range f.Nodes {
		if n.Zone == z {
			all = append(all, n)
		}
	}
	return all
}
