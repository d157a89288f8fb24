package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/dragonflyford/dragonflyford/exiter"
	"github.com/dragonflyford/dragonflyford/roller"
	"github.com/dragonflyford/dragonflyford/storer"
)

// Platform provides the table, the object store and the nodes that commands use.
type Platform struct {
	table   storer.Table
	objects storer.Objects
	nodes   roller.Nodes
	// directory may be nil; commands then query only nodes that the settings list.
	directory Directory
}

// PlatformOption sets an optional property of a Platform.
type PlatformOption func(*Platform)

// WithDirectory sets the directory that provides the operator addresses of nodes
// if the settings list none.
func WithDirectory(d Directory) PlatformOption { return func(p *Platform) { p.directory = d } }

func NewPlatform(table storer.Table, objects storer.Objects, nodes roller.Nodes, opts ...PlatformOption) *Platform {
	p := &Platform{table: table, objects: objects, nodes: nodes}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Connect opens the platform that is configured in the settings.
type Connect func(s *Settings) (*Platform, error)

// Commander runs dragonflyctl command lines.
type Commander struct {
	version string
	connect Connect
	in      io.Reader
	out     io.Writer
	errs    io.Writer
}

// New returns a commander. Output goes to out; errors, prompts and progress go to
// errs.
func New(version string, connect Connect, in io.Reader, out, errs io.Writer) *Commander {
	return &Commander{version: version, connect: connect, in: in, out: out, errs: errs}
}

// session is the state of one command line while it runs.
type session struct {
	*Commander
	ctx    context.Context
	config string
}

// globals are the options that all commands share.
type globals struct {
	Config  string `long:"config" value-name:"FILE" description:"JSON settings of an operator, see docs/OPERATORS.md"`
	Version bool   `long:"version" description:"print the version and exit"`
}

// Run runs one command line and returns its exit code.
func (c *Commander) Run(ctx context.Context, args []string) int {
	var g globals
	s := &session{Commander: c, ctx: ctx}
	parser := flags.NewNamedParser("dragonflyctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.SubcommandsOptional = true // --version needs no command
	if _, err := parser.AddGroup("Options", "", &g); err != nil {
		return c.report(err)
	}
	if err := s.addCommands(parser); err != nil {
		return c.report(err)
	}
	parser.CommandHandler = func(command flags.Commander, rest []string) error {
		if g.Version {
			_, err := fmt.Fprintln(c.out, "dragonflyctl "+c.version)
			return err
		}
		if command == nil && len(rest) > 0 {
			return &SettingError{setting: "command", value: rest[0], allowed: "one of " + strings.Join(exiter.Commands(parser), ", ")}
		}
		if command == nil {
			return &flags.Error{Type: flags.ErrCommandRequired, Message: "no command given; see --help"}
		}
		if len(rest) > 0 {
			return &SettingError{setting: "argument", value: rest[0], allowed: "absent"}
		}
		s.config = g.Config
		return command.Execute(rest)
	}
	parser.CompletionHandler = c.complete
	_, err := parser.ParseArgs(args)
	return c.report(err)
}

func (c *Commander) report(err error) int {
	return exiter.Report("dragonflyctl", err, c.out, c.errs)
}

func (s *session) addCommands(parser *flags.Parser) error {
	groups := []struct {
		name, short string
		data        any // options, or a command that runs without a subcommand
		commands    []subcommand
	}{
		{"key", "manage keys", &struct{}{}, []subcommand{
			{"new", "create a key pair", &keyNew{session: s}},
		}},
		{"bundle", "check, sign and roll out bundles", &struct{}{}, []subcommand{
			{"check", "check a bundle file", &bundleCheck{session: s}},
			{"sign", "sign a bundle file as its author", &bundleSign{session: s}},
			{"review", "show what a bundle changes and sign it as reviewer", &bundleReview{session: s}},
			{"roll-out", "put a signed bundle in force everywhere", &bundleRollOut{session: s}},
			{"roll-back", "put an earlier accepted bundle in force at a new epoch", &bundleRollBack{session: s}},
			{"status", "show what is in force by region and node", &bundleStatus{session: s}},
			{"history", "list accepted bundles, newest first", &bundleHistory{session: s}},
		}},
		{"check", "check a configuration of entry hosts before it is stored", &check{session: s}, nil},
		{"drain", "request a planned stop of a node or endpoint", &struct{}{}, drainCommands(s, false)},
		{"undrain", "cancel a planned stop of a node or endpoint", &struct{}{}, drainCommands(s, true)},
		{"status", "show the status of every node", &status{session: s}, nil},
		{"explain", "show the decisions that nodes recorded about a request", &explain{session: s}, nil},
		{"report", "show and prune the history of service levels", &struct{}{}, []subcommand{
			{"burn", "show how fast service levels use their error budgets", &reportBurn{session: s}},
			{"prune", "remove old history, also of nodes that no longer exist", &reportPrune{session: s}},
		}},
		{"load", "run a load test against a deployment", &load{session: s}, []subcommand{
			{"compare", "show two results side by side", &loadCompare{session: s}},
		}},
		{"completion", "print the completion script of a shell", &struct{}{}, []subcommand{
			{"bash", "print a script for bash to source", &completionBash{session: s}},
		}},
	}
	for _, g := range groups {
		group, err := parser.AddCommand(g.name, g.short, "", g.data)
		if err != nil {
			return fmt.Errorf("add command %s: %w", g.name, err)
		}
		// A group that is itself a command needs no subcommand.
		_, group.SubcommandsOptional = g.data.(flags.Commander)
		for _, c := range g.commands {
			if _, err := group.AddCommand(c.name, c.short, "", c.command); err != nil {
				return fmt.Errorf("add command %s %s: %w", g.name, c.name, err)
			}
		}
	}
	return nil
}

type subcommand struct {
	name, short string
	command     flags.Commander
}

// open reads the settings and connects to the platform.
func (s *session) open() (*Settings, *Platform, error) {
	settings, err := readSettings(s.config)
	if err != nil {
		return nil, nil, err
	}
	platform, err := s.connect(settings)
	if err != nil {
		return nil, nil, fmt.Errorf("connect to the platform: %w", err)
	}
	return settings, platform, nil
}

func (s *session) roller(options ...roller.Option) (*Settings, *roller.Roller, error) {
	settings, p, err := s.open()
	if err != nil {
		return nil, nil, err
	}
	return settings, roller.New(p.table, p.objects, p.nodes, settings.Keys(), settings.operator, options...), nil
}

// output holds the output options of a command.
type output struct {
	JSON bool `long:"json" description:"print JSON"`
}

// print writes data as JSON if --json is set, and text otherwise.
func (s *session) print(o output, data any, text string) error {
	if o.JSON {
		encoded, err := json.Marshal(data)
		if err != nil {
			return fmt.Errorf("encode output: %w", err)
		}
		text = string(encoded)
	}
	if _, err := fmt.Fprintln(s.out, text); err != nil {
		return fmt.Errorf("write output: %w", err)
	}
	return nil
}

// sleep waits for d. It returns false if the session's context ended first.
func (s *session) sleep(d time.Duration) bool {
	select {
	case <-s.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
