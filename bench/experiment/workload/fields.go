package workload

import (
	"reflect"

	"go.yaml.in/yaml/v3"

	"pollengauge.dev/config"
	"pollengauge.dev/node"
)

// Defaults of fields that a file leaves out.
const (
	defaultAttempts = 2
	defaultSigma    = 0.4
	defaultTries    = 1
	defaultWorth    = 1
	defaultFactor   = 1
)

func (r *reader) readWorkload(n *yaml.Node, w *Workload, variants read) {
	*w = Workload{RetryRatio: config.DefaultRetryRatio, Network: Network{Zones: 1}}
	r.mapping(n, "", map[string]read{
		"name":       r.text(&w.Name),
		"length":     r.duration(&w.Length),
		"warm":       r.duration(&w.Warm),
		"retryRatio": r.float(&w.RetryRatio),
		"network":    func(n *yaml.Node, at string) { r.readNetwork(n, at, &w.Network) },
		"services":   list(r, &w.Services, r.readService),
		"routes":     list(r, &w.Routes, r.readRoute),
		"kinds":      list(r, &w.Kinds, r.readKind),
		"callers":    list(r, &w.Callers, r.readCallers),
		"load":       list(r, &w.Load, r.readPhase),
		"faults":     list(r, &w.Faults, r.readFault),
		"variants":   variants,
	})
}

func (r *reader) readNetwork(n *yaml.Node, at string, to *Network) {
	r.mapping(n, at, map[string]read{
		"zones":        r.number(&to.Zones),
		"zoneDelay":    r.duration(&to.ZoneDelay),
		"connectDelay": r.duration(&to.ConnectDelay),
	})
}

func (r *reader) readService(n *yaml.Node, at string, to *Service) {
	r.mapping(n, at, map[string]read{
		"name":     r.text(&to.Name),
		"replicas": r.number(&to.Replicas),
		"slots":    r.number(&to.Slots),
		"speeds":   list(r, &to.Speeds, r.readFloat),
	})
}

func (r *reader) readRoute(n *yaml.Node, at string, to *Route) {
	to.Attempts = defaultAttempts
	r.mapping(n, at, map[string]read{
		"name":         r.text(&to.Name),
		"service":      r.text(&to.Service),
		"unrepeatable": r.boolean(&to.Unrepeatable),
		"attempts":     r.number(&to.Attempts),
		"steps":        list(r, &to.Steps, r.readStep),
	})
}

func (r *reader) readStep(n *yaml.Node, at string, to *Step) {
	to.Work.Sigma = defaultSigma
	r.mapping(n, at, map[string]read{
		"work":     r.duration(&to.Work.Median),
		"sigma":    r.float(&to.Work.Sigma),
		"inTurn":   list(r, &to.InTurn, r.readText),
		"together": list(r, &to.Together, r.readText),
	})
}

func (r *reader) readKind(n *yaml.Node, at string, to *Kind) {
	to.Worth = defaultWorth
	r.mapping(n, at, map[string]read{
		"name":      r.text(&to.Name),
		"route":     r.text(&to.Route),
		"from":      r.text(&to.From),
		"rank":      r.number(&to.Rank),
		"objective": r.duration(&to.Objective),
		"deadline":  r.duration(&to.Deadline),
		"worth":     r.float(&to.Worth),
		"rate":      r.float(&to.Rate),
		"callers":   r.text(&to.Callers),
	})
}

func (r *reader) readCallers(n *yaml.Node, at string, to *Callers) {
	to.Tries = defaultTries
	r.mapping(n, at, map[string]read{
		"name":      r.text(&to.Name),
		"tries":     r.number(&to.Tries),
		"timeout":   r.duration(&to.Timeout),
		"backoff":   r.duration(&to.Backoff),
		"impatient": r.boolean(&to.Impatient),
	})
}

func (r *reader) readPhase(n *yaml.Node, at string, to *Phase) {
	to.Factor = defaultFactor
	r.mapping(n, at, map[string]read{
		"from":   r.duration(&to.From),
		"to":     r.duration(&to.To),
		"factor": r.float(&to.Factor),
		"kinds":  list(r, &to.Kinds, r.readText),
	})
}

func (r *reader) readFault(n *yaml.Node, at string, to *Fault) {
	to.Factor = defaultFactor
	r.mapping(n, at, map[string]read{
		"kind":     r.text((*string)(&to.Kind)),
		"at":       r.duration(&to.At),
		"for":      r.duration(&to.For),
		"service":  r.text(&to.Service),
		"replicas": list(r, &to.Replicas, r.readInt),
		"factor":   r.float(&to.Factor),
		"with":     r.text(&to.With),
		"delay":    r.duration(&to.Delay),
		"rate":     r.float(&to.Rate),
	})
}

// ablation reads names of mechanisms, which are the fields of node.Ablation.
func (r *reader) ablation(to *node.Ablation) read {
	return func(n *yaml.Node, at string) {
		var names []string
		list(r, &names, r.readText)(n, at)
		for i, name := range names {
			field := reflect.ValueOf(to).Elem().FieldByName(name)
			if !field.IsValid() {
				r.refuse(n.Content[i].Line, at, name, "a mechanism of the nodes, as NoFeedback")
				continue
			}
			field.SetBool(true)
		}
	}
}
