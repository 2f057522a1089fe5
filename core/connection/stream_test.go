package connection

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"oleanderdale.org/core/id"
)

// runSteps applies steps to a stream and returns the data that the caller gets,
// with other results in brackets.
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

// TestStream checks that a caller gets the complete answer to its own request or
// an explicit error. The steps of a case are in the order of their arrival.
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
		{"complete only with its end marker", Options{}, []any{
			"begin a", part("a", 0, "ab", false), "write", part("a", 2, "", true),
		}, "ab[whole]"},
		{"incomplete without its end marker", Options{}, []any{
			"begin a", part("a", 0, "ab", false), "write",
		}, "ab"},
		{"duplicate and overlapping parts", Options{}, []any{
			"begin a", part("a", 0, "abc", false), part("a", 0, "abc", false), part("a", 2, "cd", true), part("a", 2, "cd", true), "write",
		}, "[drop 2][drop 2]abcd[whole]"},
		{"a gap", Options{}, []any{"begin a", part("a", 0, "a", false), part("a", 2, "c", true), "write"}, "[gap]a"},
		{"past the end marker", Options{}, []any{"begin a", part("a", 0, "a", true), part("a", 1, "b", false), "write"}, "[length]a[whole]"},
		{"an end marker before data that arrived", Options{}, []any{"begin a", part("a", 0, "ab", false), part("a", 0, "a", true), "write"}, "[length]ab"},
		{"resumed at the break, late parts of the old attempt dropped", Options{Resumes: true}, []any{
			"begin a", part("a", 0, "ab", false), "write", "break a", part("a", 2, "XX", true),
			"begin b", part("a", 2, "XX", true), part("b", 2, "c", true), "write", "break a",
		}, "ab[resume 2][drop 1][drop 1]c[ignore 0][whole]"},
		{"rerun before anything reached the caller", Options{Repeatable: true}, []any{
			"begin a", part("a", 0, "old", false), "break a", "begin b", part("b", 0, "new", true), "write",
		}, "[rerun 0]new[whole]"},
		{"not rerun once the caller has a part", Options{Repeatable: true}, []any{
			"begin a", part("a", 0, "ab", false), "write", "break a", part("a", 2, "c", true), "write",
		}, "ab[fail 0][drop 1]"},
		{"not rerun if not repeatable", Options{}, []any{"begin a", "break a"}, "[fail 0]"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := runSteps(New[byte](c.opts), c.steps...); got != c.want {
				t.Errorf("got %s, want %s", got, c.want)
			}
		})
	}
}

// TestStreamNeverMixesAttempts delivers parts of several attempts in any order,
// duplicated and late. The data that the caller has must always be a prefix of the
// answer, and Complete must hold only when it is the whole answer. With attempt ids
// ignored, some run must fail.
func TestStreamNeverMixesAttempts(t *testing.T) {
	failures := 0
	for seed := range uint64(500) {
		if got, ok := randomRun(seed, false); !ok {
			t.Fatalf("seed %d: the caller got %q, want a prefix of the answer, or all of it when complete", seed, got)
		}
		if _, ok := randomRun(seed, true); !ok {
			failures++
		}
	}
	if failures == 0 {
		t.Error("no run fails with attempt ids ignored")
	}
}

const answer = "the whole answer to its own request"

// randomRun applies random parts and breaks, and returns the caller's data when it
// first is wrong (ok false) or at the end.
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

// randomPart returns a part of any attempt up to the current one. Attempts before
// the current one gave a different answer, in upper case.
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
