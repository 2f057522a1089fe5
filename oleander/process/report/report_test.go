package report

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

var testStart = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

// logBuilder builds log lines like those of the processes.
type logBuilder struct{ strings.Builder }

func (l *logBuilder) line(at time.Duration, message, fields string) {
	fmt.Fprintf(l, `{"level":"info","instance":"i","time":%q,"message":%q,%s}`+"\n", testStart.Add(at).Format("2006-01-02T15:04:05.000Z07:00"), message, fields)
}

func (l *logBuilder) request(at time.Duration, fields string) {
	l.line(at, messageRequest, `"request":"r","status":200,"route":"chat","account":"a",`+fields)
}

func build(t *testing.T, l *logBuilder) *Report {
	t.Helper()
	b := New(Settings{Window: time.Second})
	if err := b.Read(strings.NewReader(l.String())); err != nil {
		t.Fatal(err)
	}
	return b.Build()
}

// TestLateResponseCause checks that the report names the cause of a late response, for
// one log line of the gateway for each cause.
func TestLateResponseCause(t *testing.T) {
	tests := []struct {
		name   string
		fields string
		want   Cause
	}{
		{"its account was at its limit", `"first_ms":900,"objective_ms":500,"limit_waited_ms":700,"attempts_ms":[150]`, CauseRateLimit},
		{"its model was not loaded", `"first_ms":1900,"objective_ms":500,"model_wait_ms":1500,"attempts_ms":[350]`, CauseModelLoad},
		{"all servers were full", `"first_ms":900,"objective_ms":500,"room_wait_ms":600,"attempts_ms":[250]`, CauseServersFull},
		{"a long prompt was ahead of it", `"first_ms":1100,"objective_ms":500,"limit_waited_ms":10,"attempts_ms":[1080]`, CauseServerLatency},
		{"the first server was silent", `"first_ms":2300,"objective_ms":500,"attempts_ms":[0,200]`, CauseEarlierAttempts},
		{"it paused", `"first_ms":200,"objective_ms":500,"pause_ms":900,"pause_objective_ms":400,"attempts_ms":[190]`, CauseStreamPause},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var l logBuilder
			l.request(time.Second, `"reason":"answered","in_time":false,"total_ms":3000,`+tc.fields)
			r := build(t, &l)
			if r.Late[tc.want].Count != 1 {
				t.Errorf("late responses: %v", r.Late)
			}
		})
	}
}

// TestAccountWithinRate sends twice the rate of an account. Of the requests within
// the rate, one was refused by the quota although the account had the tokens, and
// one failed.
func TestAccountWithinRate(t *testing.T) {
	var l logBuilder
	l.line(0, messageLimit, `"account":"a","rate":100,"burst":100`)
	for i := range 20 {
		fields := `"reason":"answered","in_time":true,"first_ms":5,"total_ms":0,"cost":50`
		switch {
		case i == 0:
			fields = `"reason":"quota","total_ms":0,"cost":50`
		case i == 1:
			fields = `"reason":"broken","total_ms":0,"cost":50`
		case i > 2 && i%2 == 1:
			fields = `"reason":"quota","total_ms":0,"cost":50`
		}
		l.request(time.Duration(1+i)*250*time.Millisecond, fields)
	}
	r := build(t, &l)
	if len(r.Accounts) != 1 {
		t.Fatalf("accounts %+v", r.Accounts)
	}
	a := r.Accounts[0]
	// The bucket starts with 100 tokens and gains 25 between requests of 50 each:
	// it admits the first three requests and then every second one.
	if a.Requests != 20 || a.WithinRate != 11 || a.RefusedWithinRate != 1 || a.Answered != 9 {
		t.Errorf("%+v", a)
	}
	if a.MaxOverGrant > 0 {
		t.Errorf("%.0f tokens granted beyond the rate", a.MaxOverGrant)
	}
}

// TestIdleTime loads a model at 1 s, uses it from 2 to 3 s and from 2.5 to 4 s, and
// unloads it at 7 s: it is idle for four of six seconds.
func TestIdleTime(t *testing.T) {
	var l logBuilder
	l.line(time.Second, messageOrder, `"server":"s","model":"m","adapter":"","order":"load","answer":"accepted"`)
	l.line(time.Second, messageOrder, `"server":"s","model":"n","adapter":"","order":"load","answer":"busy"`)
	l.request(3*time.Second, `"reason":"answered","in_time":true,"first_ms":5,"total_ms":1000,"server":"s","model":"m"`)
	l.request(4*time.Second, `"reason":"answered","in_time":true,"first_ms":5,"total_ms":1500,"server":"s","model":"m"`)
	l.line(7*time.Second, messageOrder, `"server":"s","model":"m","adapter":"","order":"unload","answer":"accepted"`)
	r := build(t, &l)
	const second = 1.0 / 3600
	if d := r.Idle.HeldHours - 6*second; d > 1e-9 || d < -1e-9 {
		t.Errorf("held %.6f h", r.Idle.HeldHours)
	}
	if d := r.Idle.IdleHours - 4*second; d > 1e-9 || d < -1e-9 {
		t.Errorf("idle %.6f h", r.Idle.IdleHours)
	}
	if len(r.Idle.MostIdle) != 1 || r.Idle.MostIdle[0].Model != "m" {
		t.Errorf("models %+v", r.Idle.MostIdle)
	}
}

// TestBurnByWindow has one late request in fifty in each second, but half of them in
// the eighth. The objective allows one in a hundred, so the burn rate is 2, but 50 in
// that window and 8 over the eight windows that end with it.
func TestBurnByWindow(t *testing.T) {
	var l logBuilder
	for s := range 20 {
		for i := range 50 {
			inTime := i > 0 && (s != 7 || i >= 25)
			l.request(time.Duration(s)*time.Second+time.Duration(i)*10*time.Millisecond,
				fmt.Sprintf(`"reason":"answered","in_time":%t,"first_ms":600,"objective_ms":500,"total_ms":0`, inTime))
		}
	}
	r := build(t, &l)
	s := r.Burn[0]
	if s.Name != "chat" || s.MaxShortBurn != 50 || s.LastShortBurn != 2 || s.MaxLongBurn != 8 {
		t.Errorf("%+v", s)
	}
	if len(r.Windows) != 20 || r.Windows[7].Late != 25 {
		t.Errorf("%d windows, %+v", len(r.Windows), r.Windows[7])
	}
}

// TestOwnInterface checks lines of oleanderdale's own interface, which have a class
// instead of a route, and an outcome.
func TestOwnInterface(t *testing.T) {
	var l logBuilder
	l.line(time.Second, messageRequest, `"request":"1","outcome":"answered","class":"interactive","account":"a","model":"m","first_ms":200,"total_ms":300`)
	l.line(time.Second, messageRequest, `"request":"2","outcome":"answered","class":"interactive","account":"a","model":"m","first_ms":31000,"total_ms":31000`)
	l.line(time.Second, messageRequest, `"request":"3","outcome":"refused","reason":"deadline","class":"interactive","account":"a","model":"m","first_ms":0,"total_ms":10`)
	l.line(time.Second, messageRequest, `"request":"4","outcome":"caller-gone","class":"interactive","account":"a","model":"m","first_ms":0,"total_ms":10`)
	r := build(t, &l)
	want := Counts{InTime: 1, Late: 1, Refused: 1, CallerDisconnected: 1}
	if len(r.Burn) != 1 || r.Burn[0].Counts != want || r.Burn[0].Name != "interactive" {
		t.Errorf("%+v", r.Burn)
	}
}

// TestUnreadableAndEmpty checks that lines that can't be parsed are counted and that a
// report without requests can be printed.
func TestUnreadableAndEmpty(t *testing.T) {
	b := New(Settings{Window: time.Minute})
	if err := b.Read(strings.NewReader("no json\n{\"half\":\n")); err != nil {
		t.Fatal(err)
	}
	r := b.Build()
	if r.Unreadable != 2 || r.Requests != 0 {
		t.Errorf("%+v", r)
	}
	var out strings.Builder
	if err := r.Write(&out); err != nil || !strings.Contains(out.String(), "2 lines could not be read") {
		t.Errorf("%v, %s", err, out.String())
	}
}

// BenchmarkMillionLines reads a million request lines.
func BenchmarkMillionLines(b *testing.B) {
	var l logBuilder
	for i := range 10_000 {
		l.request(time.Duration(i)*time.Millisecond, `"config":12,"in_time":true,"reason":"answered","first_ms":120,"pause_ms":40,"objective_ms":500,"pause_objective_ms":400,`+
			`"attempts_ms":[118],"charged":1540,"cost":1540,"limit":"granted","limit_owner":"front-zone-a-1","limit_waited_ms":2,"limit_level":91827,"limit_ahead":0,`+
			`"model":"daka510000","adapter":"a3","prompt_tokens":1460,"tokens":1540,"server":"i-57184ca455","sends":1,"ran":1,"events":14,"queued_ms":0,"total_ms":246`)
	}
	for b.Loop() {
		r := New(Settings{Window: time.Minute})
		for range 100 {
			if err := r.Read(strings.NewReader(l.String())); err != nil {
				b.Fatal(err)
			}
		}
		r.Build()
	}
}
