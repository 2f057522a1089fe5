package gateway

import (
	"encoding/hex"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/dispatch"
	"oleanderdale.org/core/gateway/members"
	"oleanderdale.org/oleander/gateway/ports"
	"oleanderdale.org/oleander/process/boottime"
)

// earlierFeedback is a message of an earlier version: server a named a limit of 2 requests a second
// 300 ms ago, rests for 2.5 s, and survives 8 rejections as it said 400 ms ago.
const earlierFeedback = "a110a10181a5016161020103a30119012c02f503fb4000000000000000051909c406a30165706c61696e021901900308"

func decodePacket(t *testing.T, body []byte) packet {
	t.Helper()
	var m packet
	if err := cbor.Unmarshal(body, &m); err != nil {
		t.Fatal(err)
	}
	return m
}

// toldTo returns what an instance would tell another one, which is not there.
func (g *Gateway) toldTo(t *testing.T, out []outgoing) *serverFeedbackMsg {
	t.Helper()
	if len(out) != 1 {
		t.Fatalf("%d messages, want one", len(out))
	}
	return &decodePacket(t, out[0].message.body).Feedback.Servers[0]
}

// Guards against messages that earlier versions do not read, or write otherwise.
func TestFeedbackOfEarlierVersions(t *testing.T) {
	_, g := single(t)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	body, err := hex.DecodeString(earlierFeedback)
	if err != nil {
		t.Fatal(err)
	}
	g.handleLocked(now, decodePacket(t, body))
	s := g.servers.Get("a")
	said, _ := s.LimitStatement()
	survived, _ := g.servers.BrittleStatement(now, "plain")
	if !said.Limited || said.PerSecond != 2 || now.Sub(said.At) != 300*time.Millisecond || s.RestRemaining(now) != 2500*time.Millisecond || survived.Survived != 8 || now.Sub(survived.At) != 400*time.Millisecond {
		t.Errorf("limit %+v, rest %v, rejections %+v", said, s.RestRemaining(now), survived)
	}

	_, g = single(t)
	g.mu.Lock()
	defer g.mu.Unlock()
	a := target{id: "a", incarnation: 1}
	at := func(ago time.Duration) clock.Time { return now.Add(-ago) }
	g.recordBrittle(at(400*time.Millisecond), a, ports.ResponseInfo{Feedback: ports.Feedback{Brittle: ports.Brittleness{Named: true, Survived: 8}}})
	g.recordLimit(at(300*time.Millisecond), a, ports.ResponseInfo{Feedback: ports.Feedback{RateLimit: ports.RateLimit{Named: true, PerSecond: 2}}})
	g.recordRest(now, a, ports.ResponseInfo{NotExecuted: true, Feedback: ports.Feedback{Rest: 2500 * time.Millisecond}})
	sent := packet{Feedback: &feedbackMsg{Servers: []serverFeedbackMsg{*g.ownFeedback(now, g.servers.Get("a"))}}}
	if got := hex.EncodeToString(g.encode(sent).body); got != earlierFeedback {
		t.Errorf("sent %s, want %s", got, earlierFeedback)
	}
}

// Guards against an instance that repeats what others heard, beside what it heard itself.
func TestOnlyOwnFeedbackIsRepeated(t *testing.T) {
	_, g := single(t)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	g.members.UpdateFromMessage(now, members.Member{Name: "g9", Address: "127.0.0.1:9", Incarnation: 1})
	g.handleServerFeedback(now, &serverFeedbackMsg{
		Server: "a", Incarnation: 1, RestMS: 2500, Limit: &limitMsg{Limited: true, PerSecond: 2}, Brittle: &brittleMsg{Group: "plain", Survived: 8},
	})
	if out := g.feedbackToAll(now, g.servers.Get("a")); out != nil {
		t.Error("told all what others heard")
	}
	g.recordLeaving(now, target{id: "a", incarnation: 1}, ports.ResponseInfo{Feedback: ports.Feedback{Leaving: true}})
	f := g.toldTo(t, g.repeatedFeedback(now, g.members.All(now)))
	if !f.Leaving || f.Limit != nil || f.RestMS != 0 || f.Brittle != nil {
		t.Errorf("repeated %+v", f)
	}
}

// choose lets a dispatcher choose server a for a request of an instance, and returns the decision
// and what the instance tells the dispatcher.
func choose(g *Gateway, now clock.Time, known *serverFeedbackMsg) (dispatch.Decision, []outgoing) {
	number := g.dispatchClient.BeginQuery()
	q := &pendingQuery{replies: make(chan dispatchReply, maxBufferedReplies)}
	g.pendingQueries[number] = q
	out := g.handleChoiceMsg(now, &choiceMsg{
		From: "g9", Incarnation: g.incarnation, Number: number, Decision: dispatch.Granted,
		Server: &serverMsg{Server: "a", Incarnation: 1},
	}, &choiceDetailMsg{Feedback: known})
	return (<-q.replies).decision, out
}

// Guards against a dispatcher that stays uninformed of a limit, or of its end, since none of those
// that it chooses for heard the server itself.
func TestUninformedDispatcherIsTold(t *testing.T) {
	for _, tc := range []struct {
		name             string
		said, dispatcher []limitMsg // in turn, to the instance and to the dispatcher
		limited          bool
	}{
		{"limit", []limitMsg{{AgeMS: 900, Limited: true, PerSecond: 2}}, nil, true},
		{"limit after an earlier end", []limitMsg{{AgeMS: 900, Limited: true, PerSecond: 2}}, []limitMsg{{AgeMS: 9000, Limited: true}, {AgeMS: 7000}}, true},
		{"end", []limitMsg{{AgeMS: 5000, Limited: true}, {AgeMS: 900}}, []limitMsg{{AgeMS: 5000, Limited: true}}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, g := single(t)
			_, d := single(t)
			g.mu.Lock()
			defer g.mu.Unlock()
			d.mu.Lock()
			defer d.mu.Unlock()
			now := boottime.Now()
			g.members.UpdateFromMessage(now, members.Member{Name: "g9", Address: "127.0.0.1:9", Incarnation: 1})
			hear := func(to *Gateway, said []limitMsg) {
				for i := range said {
					to.handleServerFeedback(now, &serverFeedbackMsg{Server: "a", Incarnation: 1, Limit: &said[i]})
				}
			}
			hear(g, tc.said)
			hear(d, tc.dispatcher)
			decision, out := choose(g, now, d.knownFeedback(now, d.servers.Get("a")))
			if tc.limited != (decision == dispatch.NoCandidate) {
				t.Errorf("decision %v", decision)
			}
			d.handleServerFeedback(now, g.toldTo(t, out))
			if (d.limitedServerCount() == 1) != tc.limited {
				t.Error("the dispatcher does not know")
			}
			if decision, out := choose(g, now, d.knownFeedback(now, d.servers.Get("a"))); decision != dispatch.Granted || len(out) > 0 {
				t.Errorf("%v, %d messages to a dispatcher that knows", decision, len(out))
			}
		})
	}
}
