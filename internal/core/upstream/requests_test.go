package upstream

import (
	"fmt"
	"testing"
	"time"

	"bramleydeal/internal/world/fleet"
	"github.com/matryer/is"
)

// requestSuspects returns Suspects of whole requests of the only entry.
func requestSuspects() *Suspects {
	s := NewSuspects("e0", WholeRequests{})
	s.Configure([]fleet.Instance{{Name: "e0", Role: fleet.EntryRole}})
	return s
}

func admits(s *Suspects, id string, now time.Time) bool {
	_, ok := s.Admit([]string{id}, now)
	return ok
}

// TestRequestIsHeldBackFromTheSecondEndOn guards against refusing a sound request that was lost
// as one upstream ended by itself, and against a request that ends one upstream after the other:
// three more after the third end take hours.
func TestRequestIsHeldBackFromTheSecondEndOn(t *testing.T) {
	is := is.New(t)
	s, now := requestSuspects(), time.Now()
	is.Equal(len(recordEnd(s, endOf(1), []string{"a"}, now)), 0)
	is.True(admits(s, "a", now))
	is.Equal(recordEnd(s, endOf(2), []string{"a"}, now), []string{"a"})
	is.True(!admits(s, "a", now.Add(time.Minute)))
	is.True(s.Conclusive([]string{"a"}, now))
	is.True(admits(s, "b", now))
	var trials []time.Time
	for n := 3; n < 7; n++ {
		for !admits(s, "a", now) {
			now = now.Add(time.Second)
		}
		trials = append(trials, now)
		recordEnd(s, endOf(n), []string{"a"}, now)
	}
	is.True(trials[3].Sub(trials[0]) > 2*time.Hour)
}

// TestRareRequestIsHeldBack guards against forgetting the ends of a request that comes every
// twenty minutes and is not retried, and against telling peers for hours of all requests that were
// ever lost to an end.
func TestRareRequestIsHeldBack(t *testing.T) {
	is := is.New(t)
	s, now := requestSuspects(), time.Now()
	var ends []time.Time
	for n := range 18 {
		if admits(s, "rare", now) {
			recordEnd(s, endOf(n), []string{"rare"}, now)
			ends = append(ends, now)
		}
		recordEnd(s, endOf(100+n), []string{fmt.Sprint("other", n)}, now.Add(time.Minute))
		news := s.News(now.Add(2 * time.Minute))
		is.True(len(news) <= 1) // nothing of the others, which nothing speaks against
		s.News(now.Add(19 * time.Minute))
		now = now.Add(20 * time.Minute)
	}
	is.True(len(ends) <= 6) // three after the third within six hours
}

// TestSoundPollIsNotHeldBack guards against refusing a request that is sound and so often
// repeated that it is at each upstream that ends, also when all of a service end at once.
func TestSoundPollIsNotHeldBack(t *testing.T) {
	is := is.New(t)
	s, now := requestSuspects(), time.Now()
	for episode := range 20 {
		s.RecordProgress([]string{"poll"}, now)
		now = now.Add(100 * time.Millisecond)
		for n := range 3 {
			is.Equal(len(recordEnd(s, endOf(10*episode+n), []string{"poll"}, now)), 0)
		}
		is.True(admits(s, "poll", now))
		now = now.Add(4 * time.Second)
	}
}

// TestPollThatTurnsDeadlyIsHeldBack guards against a request that was sound for an hour and ends
// upstreams from some time on.
func TestPollThatTurnsDeadlyIsHeldBack(t *testing.T) {
	is := is.New(t)
	s, now := requestSuspects(), time.Now()
	for range 3600 {
		s.RecordProgress([]string{"poll"}, now)
		now = now.Add(time.Second)
	}
	ends := 0
	for episode := range 10 {
		for n := range 3 {
			if admits(s, "poll", now) {
				recordEnd(s, endOf(10*episode+n), []string{"poll"}, now)
				ends++
			}
		}
		now = now.Add(4 * time.Second)
	}
	is.True(ends <= 4) // all at first, one when they are back
	// The trial that ends the time proves it to be sound again.
	now = now.Add(maxHold)
	is.True(admits(s, "poll", now))
	is.Equal(s.RecordProgress([]string{"poll"}, now), []string{"poll"})
	is.True(admits(s, "poll", now))
}

// TestRequestLostTwiceBesideADeadlyOneIsToldApart guards against holding back for long a sound
// request that was sent to the same two upstreams as one that ended them.
func TestRequestLostTwiceBesideADeadlyOneIsToldApart(t *testing.T) {
	is := is.New(t)
	s, now := requestSuspects(), time.Now()
	for n := range 2 {
		recordEnd(s, endOf(n), []string{"sound"}, now)
		recordEnd(s, endOf(n), []string{"deadly"}, now)
	}
	is.True(!s.Conclusive([]string{"sound"}, now))
	now = now.Add(ambiguousHold)
	is.True(admits(s, "sound", now))
	s.RecordProgress([]string{"sound"}, now)
	is.True(admits(s, "sound", now))
	is.True(!admits(s, "deadly", now.Add(time.Minute)))
}

// TestNewsOfOneEndIsCounted guards against two entries that each know one end of a request and
// do not hold it back.
func TestNewsOfOneEndIsCounted(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	a, b := requestSuspects(), requestSuspects()
	recordEnd(a, endOf(1), []string{"deadly"}, now)
	recordEnd(b, endOf(2), []string{"deadly"}, now)
	for _, n := range a.News(now) {
		is.Equal(b.RecordNews(n, now), SuspectChange{Learned: true, Held: true})
		is.Equal(b.RecordNews(n, now), SuspectChange{}) // passed on once
	}
	is.True(!admits(b, "deadly", now))
}

// TestHeldRequestIsNoTrialOfItsPrompt guards against using up the trial of a prompt part for a
// request that is not sent.
func TestHeldRequestIsNoTrialOfItsPrompt(t *testing.T) {
	is := is.New(t)
	s, now := NewContentSuspects("e0"), time.Now()
	s.Configure([]fleet.Instance{{Name: "e0", Role: fleet.EntryRole}})
	deadly := Content{Identity: "deadly", Parts: []string{"shared"}}
	for n := range 2 {
		is.True(s.RecordEnd(endOf(n), []Content{deadly}, now).Learned)
	}
	now = now.Add(ambiguousHold + holdTime(2))
	s.Requests.RecordEnd(endOf(3), []string{"deadly"}, now)
	why, wait := s.Admit(deadly, now)
	is.Equal(why, RequestHeld)
	is.True(wait > 0)
	why, _ = s.Admit(Content{Identity: "sound", Parts: []string{"shared"}}, now)
	is.Equal(why, NothingHeld)
	parts, _ := s.RecordProgress(Content{Identity: "sound", Parts: []string{"shared"}}, now)
	is.Equal(parts, []string{"shared"})
}
