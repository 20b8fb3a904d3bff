package upstream

import (
	"testing"
	"time"

	"bramleydeal/internal/world/service"
	"github.com/matryer/is"
)

var testEngine = &service.Engine{ReadRate: 1000, SequenceTime: time.Millisecond, UsualPrompt: 500, UsualAnswer: 100}

func TestWork(t *testing.T) {
	tests := map[string]struct {
		engine *service.Engine
		size   Size
		want   time.Duration
	}{
		"a plain service":              {nil, Size{}, unitWork},
		"nothing known":                {testEngine, Size{}, 600 * time.Millisecond},
		"a known prompt":               {testEngine, Size{Prompt: 1000}, 1100 * time.Millisecond},
		"a guess as usual":             {testEngine, Size{AnswerHint: 100}, 600 * time.Millisecond},
		"a long guess counts in part":  {testEngine, Size{AnswerHint: 1000}, 947 * time.Millisecond},
		"the limit bounds the guess":   {testEngine, Size{AnswerHint: 1000, AnswerLimit: 200}, 700 * time.Millisecond},
		"a limit above what is likely": {testEngine, Size{AnswerLimit: 5000}, 600 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(Work(test.engine, test.size).Round(time.Millisecond), test.want)
		})
	}
}

func TestPoolEvensOutTheWorkOfGroupsAndNotTheirRequests(t *testing.T) {
	is := is.New(t)
	p := newTestPool(grouped(2))
	first, ok := p.Choose(Selection{Work: 300 * time.Millisecond}, testNow)
	is.True(ok)
	for range 3 {
		u, ok := p.Choose(Selection{Work: 90 * time.Millisecond}, testNow)
		is.True(ok)
		is.True(u.Membership.Group != first.Membership.Group)
	}
	p.Ended(first.ID, 300*time.Millisecond, Answered, time.Millisecond, testNow)
	u, ok := p.Choose(Selection{Work: 90 * time.Millisecond}, testNow)
	is.True(ok)
	is.Equal(u.Membership.Group, first.Membership.Group)
}
