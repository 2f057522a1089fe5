// Package fleet simulates a fleet of entry instances in virtual time. The cores
// of the instances are the real ones; the table service, the network between
// instances, the instance list, the model engines and the plain services are
// simulated. A run depends only on its seed: the same seed gives the same trace,
// byte for byte.
//
// The simulated services record what they really did. Violations compares these
// records with what callers were told, without any knowledge of how the cores
// decide.
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

// Settings describe a simulated fleet.
type Settings struct {
	Seed             uint64
	Config           *config.Config
	InstancesPerZone int // number of entry instances in each zone
	// InstancesByZone, if set, overrides InstancesPerZone: one number for each
	// zone, in the order of the zones.
	InstancesByZone []int
	EnginesPerZone  int // servers of each group of model engines
	ServicesPerZone int // servers of each group of plain services

	LeaseTerm   time.Duration
	DrainDelay  time.Duration
	GracePeriod time.Duration
	Placement   placement.Settings
	Queue       queue.Settings
	// Policy, if set, returns the keep-alive policy of one instance.
	Policy func() keepalive.Policy

	TokenTime time.Duration // time in which an engine generates one token
	// IgnoreFencing makes engines ignore fencing numbers, whatever the
	// configuration of their group says.
	IgnoreFencing bool
	// ClockStopsWhilePaused stops the clock of a node while it is paused, like a
	// clock that does not count the time for which its machine is suspended.
	ClockStopsWhilePaused bool
	// RestartDelay is the time between the end of an instance and its restart by
	// the platform. If it is 0, instances that end without a stop request are
	// not restarted.
	RestartDelay time.Duration
	// Trace, if set, is called with every event and effect.
	Trace func(line string)
	// Checker is passed to the cores; with nil they panic on a violated
	// invariant.
	Checker *invariant.Checker
	// OnDispatch, if set, is called for each attempt before it is sent.
	OnDispatch func(n *Node, c *Call)
}

// Latencies and delays of the simulated services.
const (
	inZoneLatency    = 500 * time.Microsecond
	crossZoneLatency = time.Millisecond
	tableLatency     = 3 * time.Millisecond
	backendLatency   = 400 * time.Microsecond
	listInterval     = time.Second
	listDelay        = 2 * time.Second
	decodeTime       = time.Millisecond
)

// Fleet is a simulated fleet.
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
	nodeByName     map[id.Instance]*Node // by node name and by instance ID
	violations     []string
	zones          []id.Zone
	objects        map[id.Digest][]byte
	startCount     int
	accountHistory []config.Account // the initial accounts and those that scenarios changed, for checkRate
	TasksRun       int
}

// task is a function that runs at a point in virtual time. Tasks of the same
// time run in the order in which they were scheduled.
type task struct {
	at  clock.Time
	seq uint64
	run func()
}

// taskQueue is a heap of tasks, the earliest first.
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

// New returns a fleet with its configuration published and all instances
// started.
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

// schedule runs a function after d of virtual time.
func (f *Fleet) schedule(d time.Duration, run func()) {
	f.taskSeq++
	heap.Push(&f.tasks, task{at: f.now.Add(max(d, 0)), seq: f.taskSeq, run: run})
}

// After runs a function after d of virtual time.
func (f *Fleet) After(d time.Duration, run func()) { f.schedule(d, run) }

// Run advances the virtual time by d and runs all tasks that are due until then.
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

// jitter returns d plus a random part of up to half of d.
func (f *Fleet) jitter(d time.Duration) time.Duration {
	return d + time.Duration(f.random.Int64N(int64(d)/2+1))
}

// addViolation records something that must not happen. Only the first 50 are
// kept.
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

// instanceList returns the current state of the instance list.
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

// newCore returns the core of a newly started instance.
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
