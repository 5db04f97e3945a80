package cli

import (
	"github.com/jessevdk/go-flags"
)

// command is one entry of the command table.
type command struct {
	name, short, example string
	commander            flags.Commander
}

func addCommands(parser *flags.Parser, e *env) error {
	commands := []command{
		{"apply", "apply declarations", "chutectl apply --dry-run examples/vestfjord", &applyCommand{env: e}},
		{"diff", "show how declarations differ from the configuration", "chutectl diff examples/vestfjord", &diffCommand{env: e}},
		{"delete", "delete one object", "chutectl delete route labels", &deleteCommand{env: e}},
		{"get", "show objects of a kind", "chutectl get service label-text --output json", &getCommand{env: e}},
		{"watch", "show objects of a kind at every change", "chutectl watch rollout", &watchCommand{env: e}},
		{"wait", "wait for a condition of an object", "chutectl wait rollout label-text-v2 --for Completed --timeout 10m", &waitCommand{env: e}},
		{"status", "show where the configuration is in force", "chutectl status", &statusCommand{env: e}},
		{"nodes", "show the nodes", "chutectl nodes", &nodesCommand{env: e}},
		{"top", "show the load of the targets", "chutectl top --service label-text", &topCommand{env: e}},
		{"completion", "print the completion script for bash", "source <(chutectl completion)", &completionCommand{env: e}},
		{"version", "print the version", "chutectl version", &versionCommand{env: e}},
	}
	for _, c := range commands {
		_, err := parser.AddCommand(c.name, c.short, c.short+".\n\nExample: "+c.example, c.commander)
		if err != nil {
			return err
		}
	}
	return addCommandGroups(parser, e)
}

// addCommandGroups adds the commands that have commands of their own.
func addCommandGroups(parser *flags.Parser, e *env) error {
	groups := map[string]struct {
		short    string
		commands []command
	}{
		"datacentre": {"take a data centre out of service or back", []command{
			{"out", "take a data centre out of service", "chutectl datacentre out north", &dataCentreStateCommand{env: e, state: "Out"}},
			{"in", "bring a data centre back", "chutectl datacentre in north", &dataCentreStateCommand{env: e, state: "In"}},
		}},
		"rollout": {"move a service to another version", []command{
			{"start", "start a rollout", "chutectl rollout start label-text-v2 --service label-text --from v1 --to v2 --complete-by 2026-01-31T12:00:00Z", &startRolloutCommand{env: e}},
			{"rollback", "return all traffic to the old version", "chutectl rollout rollback label-text-v2", &rollBackRolloutCommand{env: e}},
		}},
		"explain": {"tell what the system did and why", []command{
			{"request", "explain one request", "chutectl explain request 4f2a", &explainRequestCommand{env: e}},
			{"rollout", "explain a rollout's steps", "chutectl explain rollout label-text-v2", &explainObjectCommand{env: e, kind: "Rollout"}},
			{"datacentre", "explain a data centre's move", "chutectl explain datacentre north", &explainObjectCommand{env: e, kind: "DataCentre"}},
		}},
	}
	for name, group := range groups {
		parent, err := parser.AddCommand(name, group.short, group.short, &struct{}{})
		if err != nil {
			return err
		}
		for _, c := range group.commands {
			_, err := parent.AddCommand(c.name, c.short, c.short+".\n\nExample: "+c.example, c.commander)
			if err != nil {
				return err
			}
		}
	}
	return nil
}
