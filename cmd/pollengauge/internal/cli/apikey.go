package cli

import (
	"bufio"
	"crypto/rand"
	"encoding/base32"
	"strings"

	"github.com/spf13/cobra"

	"pollengauge.dev/customer"
)

func newAPIKeyCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "api-key",
		Short: "Make the API key of a customer, or the digest of one",
		Long: `Make the API key of a customer, or the digest of one. A configuration holds
digests alone. A key is shown once, and is not stored.`,
		Example: `  pollengauge api-key new
  pollengauge api-key digest <key.txt`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	cmd.AddCommand(newAPIKeyNewCommand(), newAPIKeyDigestCommand())
	return cmd
}

// keyBytes is the number of random bytes in a new key.
const keyBytes = 20

func newAPIKeyNewCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "new",
		Short: "Make a key and print it with its digest",
		Long: `Make a key of 160 random bits. The first line is the key, for the customer; the
second its digest, for keyDigests in the configuration.`,
		Example: `  pollengauge api-key new`,
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			raw := make([]byte, keyBytes)
			rand.Read(raw)
			key := strings.ToLower(base32.StdEncoding.EncodeToString(raw))
			out := &printer{w: cmd.OutOrStdout()}
			out.printf("%s\n%s\n", key, customer.DigestOf(key))
			return out.result()
		},
	}
}

func newAPIKeyDigestCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "digest",
		Short: "Print the digest of a key that is read from standard input",
		Long: `Print the digest of a key. The key is read from the first line of standard input,
since arguments can be seen by other users of a machine.`,
		Example: `  pollengauge api-key digest <key.txt`,
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			line := bufio.NewScanner(cmd.InOrStdin())
			if !line.Scan() || strings.TrimSpace(line.Text()) == "" {
				return &ArgumentError{Name: "standard input", Value: "(not shown)", Want: "a key in its first line"}
			}
			out := &printer{w: cmd.OutOrStdout()}
			out.printf("%s\n", customer.DigestOf(strings.TrimSpace(line.Text())))
			return out.result()
		},
	}
}
