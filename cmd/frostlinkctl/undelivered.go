package main

import (
	"bufio"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/user"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"frostlink/internal/cli"
	"frostlink/internal/deadletter"
	"frostlink/internal/operatorconfig"
	"frostlink/internal/relay"
)

// pageOf the tool: how many messages it asks for at once.
const pageOf = 500

func undeliveredCommand() *cobra.Command {
	var o storeOptions
	c := &cobra.Command{
		Use:   "undelivered",
		Short: "Look at and decide on messages that were taken on and not delivered",
		Long: "Look at and decide on messages that were taken on and not delivered: on a running relay by its socket, on a\n" +
			"stopped one's folder. Both are named in the operator's file.",
		Example: "  frostlinkctl undelivered list --operator deploy/frostlink.toml --class fee-payment",
	}
	f := c.PersistentFlags()
	f.StringVar(&o.operator, "operator", "", "the operator's `file`, which names socket and folder")
	f.StringVar(&o.socket, "socket", "", "the running relay's `socket`")
	f.StringVar(&o.folder, "folder", "", "the stopped relay's `folder`")
	f.BoolVar(&o.json, "json", false, "print JSON")
	c.AddCommand(o.list(), o.show(), o.stats(), o.check(), o.verify(), o.export(), o.bring(),
		o.do("hold", "Hold a message: no rule resends it", false),
		o.do("resend", "Have a message resent, where its class allows it", false),
		o.do("discard", "Discard a message, with a reason", true),
		o.attest())
	return c
}

// storeOptions are the flags that all sub-commands share.
type storeOptions struct {
	operator, socket, folder string
	json                     bool
}

// reach finds the store: by the socket where a relay answers there, else in the folder.
func (o *storeOptions) reach(write bool) (*deadletter.Client, error) {
	socket, folder := o.socket, o.folder
	if o.operator != "" {
		own, err := operatorconfig.Read(o.operator)
		switch {
		case err != nil:
			return nil, err
		case own.DeadLetter == nil:
			return nil, fmt.Errorf("%s has no section [undelivered]: nothing is kept", o.operator)
		}
		if socket == "" {
			socket = own.DeadLetter.Socket
		}
		if folder == "" {
			folder = own.DeadLetter.Folder
		}
	}
	if socket != "" {
		a, err := deadletter.Connect(socket)
		if err == nil || folder == "" {
			return a, err
		}
	}
	if folder == "" {
		return nil, errors.New("which store? name --operator FILE, --socket SOCKET or --folder FOLDER")
	}
	return deadletter.OpenFolder(folder, write)
}

// on runs a command on the store.
func (o *storeOptions) on(write bool, do func(c *cobra.Command, a *deadletter.Client, args []string) error) func(*cobra.Command, []string) error {
	return func(c *cobra.Command, args []string) error {
		a, err := o.reach(write)
		if err != nil {
			return err
		}
		defer a.Close()
		return do(c, a, args)
	}
}

// filterFlags are the flags of commands that mean some messages of all.
type filterFlags struct {
	deadletter.Filter
	partner int
	may     bool
	reason  string
	state   string
}

func (f *filterFlags) add(c *cobra.Command) {
	fl := c.Flags()
	fl.StringVar(&f.Class, "class", "", "only this class")
	fl.StringVar(&f.Tenant, "tenant", "", "only this tenant")
	fl.IntVar(&f.partner, "partner", 0, "only this partner's number")
	fl.StringVar(&f.reason, "reason", "", "only this reason")
	fl.StringVar(&f.state, "state", "", "only this state")
	fl.BoolVar(&f.may, "may-have-run", false, "only those that may have run (=false: only those that can't)")
}

func (f *filterFlags) filter(c *cobra.Command) *deadletter.Filter {
	f.Reason, f.State = deadletter.Reason(f.reason), deadletter.State(f.state)
	if c.Flags().Changed("partner") {
		f.Destination = &f.partner
	}
	if c.Flags().Changed("may-have-run") {
		f.MayHaveExecuted = &f.may
	}
	return &f.Filter
}

func (o *storeOptions) list() *cobra.Command {
	var f filterFlags
	var from uint64
	var most int
	c := &cobra.Command{
		Use:     "list",
		Short:   "List messages, a page at a time",
		Example: "  frostlinkctl undelivered list --folder store --state held --may-have-run",
		Args:    cobra.NoArgs,
		RunE: o.on(false, func(c *cobra.Command, a *deadletter.Client, _ []string) error {
			l, err := a.List(c.Context(), f.filter(c), from, most)
			if err != nil {
				return err
			}
			if o.json {
				return cli.WriteJSON(c.OutOrStdout(), "-", l)
			}
			t := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(t, "id\tclass\ttenant\tpartner\tgiven up\treason\tattempts\tmay have run\tstate\twhy")
			for _, r := range l.Messages {
				may := "no"
				if r.MayHaveExecuted() != nil {
					may = "yes"
				}
				fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\t%s\t%d\t%s\t%s\t%s\n", r.ID, r.Class, r.Tenant, r.Destination, when(r.Last().CompletedAt),
					r.Last().Reason, r.Attempts(), may, r.State, r.Reason)
			}
			if err := t.Flush(); err != nil {
				return err
			}
			if l.Damaged > 0 {
				fmt.Fprintf(c.ErrOrStderr(), "%d records can't be read: see frostlinkctl undelivered verify\n", l.Damaged)
			}
			if l.Next > 0 {
				fmt.Fprintf(c.ErrOrStderr(), "there is more: --from %d\n", l.Next)
			}
			return nil
		}),
	}
	f.add(c)
	c.Flags().Uint64Var(&from, "from", 0, "begin at this record, as the last page told")
	c.Flags().IntVar(&most, "most", 100, "messages a page")
	return c
}

func when(t time.Time) string { return t.Local().Format("2006-01-02 15:04:05.000") }

func (o *storeOptions) show() *cobra.Command {
	var asHex, asText bool
	c := &cobra.Command{
		Use:     "show ID",
		Short:   "Show a message with its whole history; its body only when asked",
		Example: "  frostlinkctl undelivered show 4f0c2a9d1b770000 --folder store --text",
		Args:    cobra.ExactArgs(1),
		RunE: o.on(false, func(c *cobra.Command, a *deadletter.Client, args []string) error {
			r, err := a.Get(c.Context(), args[0])
			if err != nil {
				return err
			}
			var body []byte
			if asHex || asText {
				if body, err = a.Body(c.Context(), args[0]); err != nil {
					return err
				}
			}
			out := c.OutOrStdout()
			if o.json {
				if asHex || asText {
					return cli.WriteJSON(out, "-", deadletter.Exported{Record: *r, Body: body})
				}
				return cli.WriteJSON(out, "-", r)
			}
			printRecord(out, r)
			if asHex {
				fmt.Fprint(out, hex.Dump(body))
			}
			if asText {
				fmt.Fprintf(out, "%q\n", body)
			}
			return nil
		}),
	}
	c.Flags().BoolVar(&asHex, "hex", false, "show the body as hexadecimal numbers")
	c.Flags().BoolVar(&asText, "text", false, "show the body as quoted text")
	return c
}

func printRecord(out io.Writer, r *deadletter.Record) {
	fmt.Fprintf(out, "%s: %s to partner %d, tenant %q, key %q, %d bytes\n", r.ID, r.Class, r.Destination, r.Tenant, r.IdempotencyKey, r.BodySize)
	fmt.Fprintf(out, "%s since %s: %s\n", r.State, when(r.Since), r.Reason)
	if r.Subject != "" {
		fmt.Fprintf(out, "about %q\n", r.Subject)
	}
	for i, l := range r.Incarnations {
		fmt.Fprintf(out, "life %d, id %s, at %s: taken on %s, until %s, given up %s: %s (%s)\n", i+1, l.ID, l.Relay, when(l.AcceptedAt),
			when(l.Deadline), when(l.CompletedAt), l.Reason, l.Status)
		if l.Attestation != nil {
			fmt.Fprintf(out, "  resent on the word of %s: %s\n", l.Attestation.By, l.Attestation.Evidence)
		}
		for _, a := range l.Attempts {
			ended := "no end"
			if !a.EndedAt.IsZero() {
				ended = when(a.EndedAt)
			}
			fmt.Fprintf(out, "  call to %s, %s to %s: %s; ran: %s\n", a.Endpoint, when(a.StartedAt), ended, or(a.Outcome, "unknown"), a.Execution)
		}
	}
	for _, a := range r.Attestations {
		used := "not used yet"
		if a.Used {
			used = "used"
		}
		fmt.Fprintf(out, "attested by %s at %s (%s): %s\n", a.By, when(a.At), used, a.Evidence)
	}
}

func or(s, other string) string {
	if s == "" {
		return other
	}
	return s
}

func (o *storeOptions) stats() *cobra.Command {
	return &cobra.Command{
		Use:     "stats",
		Short:   "What the store holds, by class and tenant",
		Example: "  frostlinkctl undelivered stats --operator deploy/frostlink.toml",
		Args:    cobra.NoArgs,
		RunE: o.on(false, func(c *cobra.Command, a *deadletter.Client, _ []string) error {
			s, err := a.Stats(c.Context())
			if err != nil {
				return err
			}
			out := c.OutOrStdout()
			if o.json {
				return cli.WriteJSON(out, "-", s)
			}
			fmt.Fprintf(out, "%d messages, %d bytes of bodies, file of %d bytes; %d listed as not kept\n", s.Messages, s.Bytes, s.File, s.Dropped)
			t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
			for state, n := range s.States {
				fmt.Fprintf(t, "%s\t%d\n", state, n)
			}
			for _, g := range s.Groups {
				fmt.Fprintf(t, "%s of %s\t%d\t%d bytes\n", g.Class, g.Tenant, g.Messages, g.Bytes)
			}
			for group, n := range s.RemovedByBound {
				fmt.Fprintf(t, "%s, left by a bound\t%d\n", group, n)
			}
			for group, n := range s.Rejected {
				fmt.Fprintf(t, "%s, refused at arrival\t%d\n", group, n)
			}
			return t.Flush()
		}),
	}
}

func (o *storeOptions) check() *cobra.Command {
	var config string
	c := &cobra.Command{
		Use:   "check",
		Short: "Tell what the operator's rules would do with what is in the store now; nothing is changed",
		Long: "Tell what the operator's rules would do with what is in the store now; nothing is changed. Rules that break a\n" +
			"class's allowance are refused. A running relay knows its classes; for a stopped one name its configuration.",
		Example: "  frostlinkctl undelivered check --operator deploy/frostlink.toml --config config.json",
		Args:    cobra.NoArgs,
		RunE: o.on(false, func(c *cobra.Command, a *deadletter.Client, _ []string) error {
			if o.operator == "" {
				return errors.New("--operator: which rules?")
			}
			own, err := operatorconfig.Read(o.operator)
			if err != nil {
				return err
			}
			order := deadletter.DryRunRequest{Rules: own.DeadLetter.Rules}
			if config != "" {
				if order.Classes, err = classesOf(config, own.DeadLetter); err != nil {
					return err
				}
			}
			rules, err := a.Check(c.Context(), order)
			if err != nil {
				return err
			}
			if o.json {
				err = cli.WriteJSON(c.OutOrStdout(), "-", rules)
			} else {
				printChecks(c.OutOrStdout(), rules, own.DeadLetter.Rules)
			}
			for _, r := range rules {
				if len(r.Faults) > 0 && err == nil {
					err = cli.ErrFindings
				}
			}
			return err
		}),
	}
	c.Flags().StringVar(&config, "config", "", "the relay's configuration `file`, as the platform writes it")
	return c
}

// classesOf reads a relay's classes from the platform's configuration.
func classesOf(path string, own *deadletter.Section) ([]deadletter.Class, error) {
	cfg, err := relay.ReadConfig(path)
	if err != nil {
		return nil, err
	}
	return cfg.RedeliveryClasses(own), nil
}

// printChecks says in plain words what each rule would do.
func printChecks(out io.Writer, checks []deadletter.DryRunResult, rules []deadletter.Rule) {
	for _, c := range append(checks[1:], checks[0]) {
		if c.Rule == 0 {
			fmt.Fprintf(out, "no rule: holds %d messages\n", c.Matches)
		} else {
			fmt.Fprintf(out, "rule %d (%s): matches %d messages\n", c.Rule, rules[c.Rule-1].Action, c.Matches)
		}
		for _, f := range c.Faults {
			fmt.Fprintf(out, "  REFUSED: it %s\n", f)
		}
		for action, n := range c.Actions {
			fmt.Fprintf(out, "  %s now: %d\n", action, n)
		}
		for _, s := range c.Samples {
			fmt.Fprintf(out, "  such as %s\n", s)
		}
	}
}

func (o *storeOptions) verify() *cobra.Command {
	return &cobra.Command{
		Use:     "verify",
		Short:   "Read all there is, and name what is damaged",
		Example: "  frostlinkctl undelivered verify --folder store",
		Args:    cobra.NoArgs,
		RunE: o.on(false, func(c *cobra.Command, a *deadletter.Client, _ []string) error {
			v, err := a.Verify(c.Context())
			if err != nil {
				return err
			}
			if o.json {
				if err := cli.WriteJSON(c.OutOrStdout(), "-", v); err != nil {
					return err
				}
			} else {
				for _, f := range v.Faults {
					fmt.Fprintf(c.OutOrStdout(), "%s: %s\n", f.Where, f.What)
				}
				fmt.Fprintf(c.OutOrStdout(), "%d messages are whole, %d faults\n", v.Good, len(v.Faults))
			}
			if len(v.Faults) > 0 {
				return cli.ErrFindings
			}
			return nil
		}),
	}
}

func (o *storeOptions) export() *cobra.Command {
	var f filterFlags
	var path string
	c := &cobra.Command{
		Use:     "export",
		Short:   "Write messages with their bodies, a line of JSON each",
		Example: "  frostlinkctl undelivered export --folder store --state held --to held.jsonl",
		Args:    cobra.NoArgs,
		RunE: o.on(false, func(c *cobra.Command, a *deadletter.Client, _ []string) (err error) {
			to := c.OutOrStdout()
			if path != "-" {
				file, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600) // nothing is written over
				if err != nil {
					return err
				}
				defer func() { err = errors.Join(err, file.Close()) }()
				to = file
			}
			out := bufio.NewWriter(to)
			n, from, damaged := 0, uint64(0), 0
			for first := true; first || from > 0; first = false {
				l, err := a.List(c.Context(), f.filter(c), from, pageOf)
				if err != nil {
					return err
				}
				for _, r := range l.Messages {
					body, err := a.Body(c.Context(), r.ID)
					if err != nil {
						damaged++
						fmt.Fprintf(c.ErrOrStderr(), "%s: %v\n", r.ID, err)
						continue
					}
					raw, err := json.Marshal(deadletter.Exported{Record: *r, Body: body})
					if err != nil {
						return err
					}
					if _, err := out.Write(append(raw, '\n')); err != nil {
						return err
					}
					n++
				}
				from, damaged = l.Next, damaged+l.Damaged
			}
			if err := out.Flush(); err != nil {
				return err
			}
			fmt.Fprintf(c.ErrOrStderr(), "%d messages exported, %d damaged\n", n, damaged)
			if damaged > 0 {
				return cli.ErrFindings
			}
			return nil
		}),
	}
	f.add(c)
	c.Flags().StringVar(&path, "to", "-", "the `file`, which must not be there; - is standard output")
	return c
}

func (o *storeOptions) bring() *cobra.Command {
	return &cobra.Command{
		Use:     "import FILE",
		Short:   "Take in messages that were exported; they are held",
		Example: "  frostlinkctl undelivered import held.jsonl --folder store",
		Args:    cobra.ExactArgs(1),
		RunE: o.on(true, func(c *cobra.Command, a *deadletter.Client, args []string) error {
			file, err := os.Open(args[0])
			if err != nil {
				return err
			}
			defer file.Close()
			lines := json.NewDecoder(file)
			for n, news := 0, 0; ; n++ {
				var e deadletter.Exported
				err := lines.Decode(&e)
				if errors.Is(err, io.EOF) {
					fmt.Fprintf(c.OutOrStdout(), "%d messages read, %d of them news\n", n, news)
					return nil
				}
				if err != nil {
					return fmt.Errorf("%s: message %d: %w", args[0], n+1, err)
				}
				kept, err := a.Import(c.Context(), &e)
				if err != nil {
					return fmt.Errorf("%s: message %d: %w", args[0], n+1, err)
				}
				if kept {
					news++
				}
			}
		}),
	}
}

// do is a command on messages by their ids.
func (o *storeOptions) do(what, short string, why bool) *cobra.Command {
	var order deadletter.Command
	c := &cobra.Command{
		Use:     what + " ID... | -",
		Short:   short,
		Example: fmt.Sprintf("  frostlinkctl undelivered %s 4f0c2a9d1b770000 --folder store --why \"the bank has booked it\"", what),
		Args:    cobra.MinimumNArgs(1),
		RunE: o.on(true, func(c *cobra.Command, a *deadletter.Client, ids []string) error {
			return o.each(c, a, what, ids, order)
		}),
	}
	c.Flags().StringVar(&order.By, "by", ownName(), "who wants it")
	c.Flags().StringVar(&order.Reason, "why", "", "why")
	if why {
		_ = c.MarkFlagRequired("why") // fails for flags that are not there only
	}
	return c
}

// each does something to each message, and goes on where one is refused. The id - stands for those on standard input: a
// list that staff have checked against a partner's ledger.
func (o *storeOptions) each(c *cobra.Command, a *deadletter.Client, what string, ids []string, order deadletter.Command) error {
	if len(ids) == 1 && ids[0] == "-" {
		ids = nil
		for words := bufio.NewScanner(c.InOrStdin()); words.Scan(); {
			ids = append(ids, strings.Fields(words.Text())...)
		}
	}
	refused := false
	done := []*deadletter.Record{}
	for _, id := range ids {
		r, err := a.Command(c.Context(), what, id, order)
		if err != nil {
			refused = true
			fmt.Fprintln(c.ErrOrStderr(), err)
			continue
		}
		done = append(done, r)
		if !o.json {
			fmt.Fprintf(c.OutOrStdout(), "%s: %s, %s\n", r.ID, r.State, r.Reason)
		}
	}
	if o.json {
		if err := cli.WriteJSON(c.OutOrStdout(), "-", done); err != nil {
			return err
		}
	}
	if refused {
		return cli.ErrFindings
	}
	return nil
}

func (o *storeOptions) attest() *cobra.Command {
	var order deadletter.Command
	c := &cobra.Command{
		Use:   "attest ID... | -",
		Short: "State by name that the partner does not have a message that may have run",
		Long: "State by name that the partner does not have a message that may have run. It is kept and shown for ever, and\n" +
			"allows one resend. - stands for ids on standard input, as from a list that was checked against a ledger.",
		Example: "  frostlinkctl undelivered attest 4f0c2a9d1b770000 --folder store --by \"Amina Khan\" --evidence \"ledger of 30 June, page 7\"",
		Args:    cobra.MinimumNArgs(1),
		RunE: o.on(true, func(c *cobra.Command, a *deadletter.Client, ids []string) error {
			return o.each(c, a, "attest", ids, order)
		}),
	}
	c.Flags().StringVar(&order.By, "by", "", "who attests it")
	c.Flags().StringVar(&order.Evidence, "evidence", "", "on what evidence")
	_, _ = c.MarkFlagRequired("by"), c.MarkFlagRequired("evidence") // fail for flags that are not there only
	return c
}

func ownName() string {
	u, err := user.Current()
	if err != nil {
		return ""
	}
	return u.Username
}
