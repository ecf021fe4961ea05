package demo

import (
	"fmt"
	"strconv"

	"pollengauge.dev/config"
	"pollengauge.dev/demo/load"
	"pollengauge.dev/demo/report"
)

// addPromises adds the promises and notes to a measured run.
func (s *runState) addPromises(run *report.Run, set config.Set) {
	if s.nodes == nil {
		run.Promises = report.Check(run, nil)
		return
	}
	credits := report.Credits{}
	for _, p := range set.Profiles {
		credits[p.Name] = p.Credit
	}
	cutOff := s.countCutOff(run.Evidence.Records)
	s.promise(report.NewPromise(claimDrain+", at its edge", cutOff == 0, strconv.Itoa(cutOff)+" attempts without an answer"))
	run.Promises = append(report.Check(run, credits), s.promises...)
	run.Notes = append(s.notes, s.editEffect(run))
}

// editEffect returns a note with the shares of completed operations in the
// surge, before and after the edit. It excludes editSettles after the start of
// the surge and after the edit.
func (s *runState) editEffect(run *report.Run) string {
	edit := s.deployment.Edit
	before := load.Span{Start: s.schedule.at(surgeAt + editSettles), End: s.schedule.at(editAt)}
	after := load.Span{Start: s.schedule.at(editAt + editSettles), End: s.schedule.at(slowAt)}
	text := "live edit, whole operations in the surge before and after it:"
	for _, class := range []string{edit.LiftedClass, edit.LoweredClass} {
		i := s.deployment.classIndex(class)
		text += fmt.Sprintf(" %s %.0f %% -> %.0f %%;", class, run.WholePercent(i, before), run.WholePercent(i, after))
	}
	return text
}
