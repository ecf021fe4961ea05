package cli

import (
	"net"
	"os"
	"os/user"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"pollengauge.dev/objects"
	"pollengauge.dev/platform/store"
)

// Environment variables of the operator's commands. A flag takes precedence over
// its variable; an empty variable counts as not set.
const (
	envPlatform = envPrefix + "PLATFORM"
	envNodes    = envPrefix + "NODES"
	envAuthor   = envPrefix + "AUTHOR"
)

const (
	defaultTimeout = 2 * time.Second
	maxTimeout     = time.Minute
)

// nodesFlags are the flags that select the nodes a command queries.
type nodesFlags struct {
	nodes   []string
	timeout time.Duration
	json    bool
}

func (f *nodesFlags) bind(cmd *cobra.Command) {
	cmd.Flags().StringSliceVar(&f.nodes, "nodes", nil, "admin addresses (host:port) of the nodes to ask, comma separated (default $"+envNodes+")")
	cmd.Flags().DurationVar(&f.timeout, "timeout", defaultTimeout, "bound on each question to a node")
}

func (f *nodesFlags) bindJSON(cmd *cobra.Command) {
	cmd.Flags().BoolVar(&f.json, "json", false, "write the result as JSON")
}

// addresses returns the admin addresses from --nodes or, if it is empty, from the
// environment variable.
func (f *nodesFlags) addresses() ([]string, error) {
	if f.timeout <= 0 || f.timeout > maxTimeout {
		return nil, &ArgumentError{Name: "--timeout", Value: f.timeout.String(), Want: "above 0, at most " + maxTimeout.String()}
	}
	given, name := f.nodes, "--nodes"
	if len(given) == 0 {
		given, name = strings.Split(os.Getenv(envNodes), ","), envNodes
	}
	var addresses []string
	for _, address := range given {
		if address = strings.TrimSpace(address); address == "" {
			continue
		}
		if err := checkAddress(name, address); err != nil {
			return nil, err
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// required is like addresses, but returns an error if there are none.
func (f *nodesFlags) required() ([]string, error) {
	addresses, err := f.addresses()
	if err == nil && len(addresses) == 0 {
		return nil, &ArgumentError{Name: "--nodes", Want: "at least one admin address (host:port), here or in " + envNodes}
	}
	return addresses, err
}

func checkAddress(name, address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" || port == "" {
		return &ArgumentError{Name: name, Value: address, Want: "host:port"}
	}
	return nil
}

// platformFlags are the flags that select the platform a command uses.
type platformFlags struct {
	url     string
	timeout time.Duration
}

func (f *platformFlags) bind(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.url, "platform", "", "URL of the platform's object API (default $"+envPlatform+")")
	cmd.Flags().DurationVar(&f.timeout, "platform-timeout", objects.DefaultTimeout, "bound on each call to the platform")
}

// client returns a client of the platform. It sends no request.
func (f *platformFlags) client() (*objects.Client, error) {
	url := f.url
	if url == "" {
		url = os.Getenv(envPlatform)
	}
	if url == "" {
		return nil, &ArgumentError{Name: "--platform", Want: "the URL of the platform's object API, here or in " + envPlatform}
	}
	if f.timeout <= 0 || f.timeout > maxTimeout {
		return nil, &ArgumentError{Name: "--platform-timeout", Value: f.timeout.String(), Want: "above 0, at most " + maxTimeout.String()}
	}
	client, err := store.New(objects.Options{Endpoint: url, Timeout: f.timeout})
	if err != nil {
		return nil, &ArgumentError{Name: "--platform", Value: url, Want: "http://host:port or https://host:port"}
	}
	return client, nil
}

// defaultAuthor returns the author of a change if --author is not given: the value of
// the environment variable or else the name of the user.
func defaultAuthor() string {
	if author := os.Getenv(envAuthor); author != "" {
		return author
	}
	if current, err := user.Current(); err == nil {
		return current.Username
	}
	return ""
}
