package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestASeedAlwaysGivesTheSameSteps(t *testing.T) {
	is := is.New(t)
	is.Equal(Draw(7, 20*time.Second), Draw(7, 20*time.Second))
	is.True(Format(Draw(7, 20*time.Second)) != Format(Draw(8, 20*time.Second)))
}

func TestEveryKindOfFaultIsDrawnAndComesInSeries(t *testing.T) {
	is := is.New(t)
	seen, series := map[Fault]bool{}, 0
	for seed := range uint64(50) {
		steps := Draw(seed, 20*time.Second)
		for i, s := range steps {
			seen[s.Fault] = true
			is.True(s.At < 20*time.Second && s.For >= minLength && s.For <= maxLength)
			if i > 0 {
				is.True(s.At >= steps[i-1].At)
				if s.Fault == steps[i-1].Fault && s.At-steps[i-1].At == seriesGap {
					series++
				}
			}
		}
	}
	is.Equal(len(seen), len(weights))
	is.True(series > 0)
}

func TestOnlyTheFaultsAskedForAreKept(t *testing.T) {
	is := is.New(t)
	for _, s := range Draw(3, time.Minute, EntryKill, Change) {
		is.True(s.Fault == EntryKill || s.Fault == Change)
	}
}

func ExampleStep_String() {
	fmt.Println(Step{At: 1500 * time.Millisecond, Fault: EntryStop, Target: 2, Variant: 5, For: time.Second})
	// Output:   1.50s entry-stop    target 2 variant 5 for 1s
}
