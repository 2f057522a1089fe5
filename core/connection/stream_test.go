package connection

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"oleanderdale.org/core/id"
)

// play feeds steps to a stream and returns what the caller gets, with what else
// was decided in brackets.
func runSteps(s *Stream[byte], steps ...any) string {
	var got strings.Builder
	for _, step := range steps {
		switch step := step.(type) {
		case Part[byte]:
			result, err := s.Add(step)
			var gap *GapError
			var length *LengthError
			switch {
			case errors.As(err, &gap):
				got.WriteString("[gap]")
			case errors.As(err, &length):
				got.WriteString("[length]")
			case result != Accepted:
				fmt.Fprintf(&got, "[drop %d]", result)
			}
		case string:
			switch command, arg, _ := strings.Cut(step, " "); command {
			case "begin":
				s.Begin(id.Attempt(arg))
			case "write":
				got.Write(s.Next())
			case "break":
				d := s.Break(id.Attempt(arg))
				fmt.Fprintf(&got, "[%s %d]", [...]string{"ignore", "resume", "rerun", "fail"}[d.Action], d.Offset)
			}
		}
	}
	if s.Complete() {
		got.WriteString("[whole]")
	}
	return got.String()
}

// A caller must get the whole answer to its own request, or an explicit error.
// Each case gives the parts and breaks in the order in which they come.
func TestStream(t *testing.T) {
	part := func(attempt string, offset int64, data string, end bool) Part[byte] {
		return Part[byte]{id.Attempt(attempt), offset, []byte(data), end}
	}
	for _, c := range []struct {
		name  string
		opts  Options
		steps []any
		want  string
	}{
		{"whole only with its end marker", Options{}, []any{
			"begin a", part("a", 0, "ab", false), "write", part("a", 2, "", true),
		}, "ab[whole]"},
		{"an answer without its end marker is not whole", Options{}, []any{
			"begin a", part("a", 0, "ab", false), "write",
		}, "ab"},
		{"doubled and overlapping parts", Options{}, []any{
			"begin a", part("a", 0, "abc", false), part("a", 0, "abc", false), part("a", 2, "cd", true), part("a", 2, "cd", true), "write",
		}, "[drop 2][drop 2]abcd[whole]"},
		{"a gap", Options{}, []any{"begin a", part("a", 0, "a", false), part("a", 2, "c", true), "write"}, "[gap]a"},
		{"past the end marker", Options{}, []any{"begin a", part("a", 0, "a", true), part("a", 1, "b", false), "write"}, "[length]a[whole]"},
		{"an end before what arrived", Options{}, []any{"begin a", part("a", 0, "ab", false), part("a", 0, "a", true), "write"}, "[length]ab"},
		{"resumed where it broke, late parts of the old attempt dropped", Options{Resumes: true}, []any{
			"begin a", part("a", 0, "ab", false), "write", "break a", part("a", 2, "XX", true),
			"begin b", part("a", 2, "XX", true), part("b", 2, "c", true), "write", "break a",
		}, "ab[resume 2][drop 1][drop 1]c[ignore 0][whole]"},
		{"run again as nothing reached the caller", Options{Repeatable: true}, []any{
			"begin a", part("a", 0, "old", false), "break a", "begin b", part("b", 0, "new", true), "write",
		}, "[rerun 0]new[whole]"},
		{"not run again once the caller has a part", Options{Repeatable: true}, []any{
			"begin a", part("a", 0, "ab", false), "write", "break a", part("a", 2, "c", true), "write",
		}, "ab[fail 0][drop 1]"},
		{"not run again if it may not be", Options{}, []any{"begin a", "break a"}, "[fail 0]"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := runSteps(New[byte](c.opts), c.steps...); got != c.want {
				t.Errorf("got %s, want %s", got, c.want)
			}
		})
	}
}

// Parts of several attempts come in any order, doubled and late: what the
// caller has is at each moment the beginning of the answer, and it is told
// that it is whole only when it is. With the attempt id ignored it is not.
func TestStreamNeverMixesAttempts(t *testing.T) {
	mixed := 0
	for seed := range uint64(500) {
		if got, ok := randomRun(seed, false); !ok {
			t.Fatalf("seed %d: the caller has %q", seed, got)
		}
		if _, ok := randomRun(seed, true); !ok {
			mixed++
		}
	}
	if mixed == 0 {
		t.Error("no run shows the missing safeguard")
	}
}

const answer = "the whole answer to its own request"

// shuffled plays one random run, and returns what the caller has when it first
// is wrong, or at the end.
func randomRun(seed uint64, mix bool) (got string, ok bool) {
	rng := rand.New(rand.NewPCG(seed, 3))
	s := New[byte](Options{Resumes: true, Repeatable: true})
	s.mixAttempts = mix
	attempt := 0
	s.Begin("0")
	for range 200 {
		_, err := s.Add(randomPart(rng, attempt))
		if rng.IntN(3) == 0 {
			got += string(s.Next())
		}
		if err != nil && s.Break(attemptName(attempt)).Action != Ignore {
			attempt++
			s.Begin(attemptName(attempt))
		}
		if !strings.HasPrefix(answer, got) || (s.Complete() && got != answer) {
			return got, false
		}
	}
	return got, true
}

func attemptName(attempt int) id.Attempt { return id.Attempt(fmt.Sprint(attempt)) }

// randomPart is a part of any attempt up to the current one; older ones worded
// their answer differently.
func randomPart(rng *rand.Rand, current int) Part[byte] {
	a := rng.IntN(current + 1)
	from := rng.IntN(len(answer))
	to := from + rng.IntN(len(answer)-from) + 1
	text := answer[from:to]
	if a != current {
		text = strings.ToUpper(text)
	}
	return Part[byte]{attemptName(a), int64(from), []byte(text), to == len(answer)}
}
