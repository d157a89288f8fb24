package launcher

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/jessevdk/go-flags"

	"github.com/dragonflyford/dragonflyford/configurer"
	"github.com/dragonflyford/dragonflyford/demonstrator"
	"github.com/dragonflyford/dragonflyford/emulator"
	"github.com/dragonflyford/dragonflyford/exampler"
	"github.com/dragonflyford/dragonflyford/exiter"
	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/runner"
	"github.com/dragonflyford/dragonflyford/storer"
)

// Launcher runs dragonflyford command lines.
type Launcher struct {
	version string
	out     io.Writer
	errs    io.Writer
}

// New returns a launcher. Output and the logs of entry hosts go to out, errors
// and the logs of nodes to errs.
func New(version string, out, errs io.Writer) *Launcher {
	return &Launcher{version: version, out: out, errs: errs}
}

// UsageError reports an invalid command line or settings file.
type UsageError struct {
	cause error
}

func (e *UsageError) Error() string { return e.cause.Error() }

// UsageError implements exiter.UsageError.
func (e *UsageError) UsageError() {}

func (e *UsageError) Unwrap() error { return e.cause }

type globals struct {
	Version bool `long:"version" description:"print the version and exit"`
}

// Run runs one command line and returns its exit code.
func (l *Launcher) Run(ctx context.Context, args []string) int {
	var g globals
	parser := flags.NewNamedParser("dragonflyford", flags.HelpFlag|flags.PassDoubleDash)
	parser.SubcommandsOptional = true // --version stands alone
	if _, err := parser.AddGroup("Options", "", &g); err != nil {
		return l.report(err)
	}
	if err := l.addCommands(ctx, parser); err != nil {
		return l.report(err)
	}
	parser.CommandHandler = func(command flags.Commander, rest []string) error {
		switch {
		case g.Version:
			_, err := fmt.Fprintln(l.out, "dragonflyford "+l.version)
			return err
		case command == nil && len(rest) > 0:
			return &UsageError{fmt.Errorf("command %q does not exist; allowed are %s", rest[0], strings.Join(exiter.Commands(parser), ", "))}
		case command == nil:
			return &flags.Error{Type: flags.ErrCommandRequired, Message: "no command given; see --help"}
		case len(rest) > 0:
			return &UsageError{fmt.Errorf("argument %q is not allowed; commands take options only", rest[0])}
		default:
			return command.Execute(rest)
		}
	}
	_, err := parser.ParseArgs(args)
	return l.report(err)
}

func (l *Launcher) addCommands(ctx context.Context, parser *flags.Parser) error {
	commands := []struct {
		name, short, long string
		command           flags.Commander
	}{
		{
			"serve", "run a node", "Runs a node until SIGTERM or SIGINT, then finishes all requests in flight.",
			&serveCommand{launcher: l, ctx: ctx},
		},
		{
			"entry", "run an entry host on the users' platform", "Runs an entry host until SIGTERM or SIGINT, then finishes all calls in flight. SIGHUP reloads the settings.",
			&entryCommand{launcher: l, ctx: ctx},
		},
		{
			"check", "check the settings of a node", "Validates the settings of a node, prints every fault with its position, and exits.",
			&checkCommand{launcher: l},
		},
		{
			"emulate", "run fakes of the platform and the endpoints", "Runs fakes of the table, the object store, the host list, the weight store, engines and services.",
			&emulateCommand{launcher: l, ctx: ctx},
		},
		{
			"demo", "run a deployment with load in one process", "Runs fakes, six nodes and a modest load on loopback, checks the promises and prints a summary.",
			&demoCommand{launcher: l, ctx: ctx},
		},
		{
			"example", "write the files of an example", "Writes settings, example-only keys, a bundle and a workload that run a deployment as separate processes on loopback.",
			&exampleCommand{launcher: l},
		},
	}
	for _, c := range commands {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.command); err != nil {
			return fmt.Errorf("add command %s: %w", c.name, err)
		}
	}
	return nil
}

func (l *Launcher) report(err error) int {
	return exiter.Report("dragonflyford", err, l.out, l.errs)
}

// readSettings reads and parses a settings file. It returns a *UsageError if that
// fails.
func readSettings[T any](path string, parse func([]byte) (T, error)) (T, error) {
	var zero T
	if path == "" {
		return zero, &UsageError{errors.New("--config is empty; it must name a JSON file")}
	}
	src, err := os.ReadFile(path)
	if err != nil {
		return zero, &UsageError{fmt.Errorf("--config: %w", err)}
	}
	settings, err := parse(src)
	if err != nil {
		return zero, &UsageError{fmt.Errorf("%s: %w", path, err)}
	}
	return settings, nil
}

type checkCommand struct {
	launcher *Launcher
	Config   string `long:"config" value-name:"FILE" required:"yes" description:"settings of the node"`
}

// Execute validates the settings file.
func (c *checkCommand) Execute([]string) error {
	settings, err := configurer.ReadNode(c.Config)
	if err != nil {
		return &UsageError{fmt.Errorf("check settings: %w", err)}
	}
	_, err = fmt.Fprintf(c.launcher.out, "%s: settings of node %s in %s are valid\n", c.Config, settings.Name(), settings.DataCentre())
	return err
}

type serveCommand struct {
	launcher *Launcher
	ctx      context.Context
	Config   string `long:"config" value-name:"FILE" required:"yes" description:"settings of the node"`
}

// Execute runs a node until the context is canceled or an operator drains it.
func (c *serveCommand) Execute([]string) error {
	settings, err := configurer.ReadNode(c.Config)
	if err != nil {
		return &UsageError{fmt.Errorf("read settings: %w", err)}
	}
	log, err := logger.New(c.launcher.errs, settings.Name(), settings.LogLevel())
	if err != nil {
		return &UsageError{fmt.Errorf("log.level: %w", err)}
	}
	listeners, err := runner.Listen(c.ctx, settings.Listen())
	if err != nil {
		return fmt.Errorf("open listeners: %w", err)
	}
	env := runner.NewEnvironment(
		storer.NewHTTPTable(settings.Table()),
		storer.NewHTTPObjects(settings.Objects()),
		storer.NewHTTPHosts(settings.Hosts()),
		runner.HTTPEndpoints{}, runner.RPCNetwork{})
	node := runner.New(settings, env, runner.WithLogger(log))
	if err := node.Serve(c.ctx, listeners); err != nil {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

type emulateCommand struct {
	launcher *Launcher
	ctx      context.Context
	Config   string `long:"config" value-name:"FILE" required:"yes" description:"settings of the fakes"`
}

// Execute runs the fakes until the context is canceled.
func (c *emulateCommand) Execute([]string) error {
	doc, err := readSettings(c.Config, emulator.ParseDocument)
	if err != nil {
		return err
	}
	fakes, err := emulator.Start(c.ctx, doc)
	if err != nil {
		return fmt.Errorf("start the fakes: %w", err)
	}
	if _, err := fmt.Fprintln(c.launcher.out, "the fakes are listening"); err != nil {
		return fmt.Errorf("write to standard output: %w", err)
	}
	<-c.ctx.Done()
	fakes.Close()
	return nil
}

type demoCommand struct {
	launcher   *Launcher
	ctx        context.Context
	Deployment string  `long:"deployment" choice:"clearing" choice:"tender" default:"clearing" description:"which deployment to run"`
	For        string  `long:"for" value-name:"DURATION" default:"20s" description:"how long to start new requests"`
	Seed       uint64  `long:"seed" default:"1" description:"seed of the load and of the fakes"`
	Rate       float64 `long:"rate" default:"20" description:"requests per second"`
	JSON       bool    `long:"json" description:"print the summary as one JSON object on the last line"`
}

// Execute runs the demo and prints its summary.
func (c *demoCommand) Execute([]string) error {
	plan, err := demonstrator.NewPlan(c.Deployment, c.For, c.Seed, c.Rate)
	if err != nil {
		return &UsageError{err}
	}
	summary, err := demonstrator.Run(c.ctx, plan, c.launcher.errs)
	if err != nil {
		return fmt.Errorf("run demo: %w", err)
	}
	if err := summary.Write(c.launcher.out, c.JSON); err != nil {
		return fmt.Errorf("write summary: %w", err)
	}
	return summary.Check()
}

type exampleCommand struct {
	launcher   *Launcher
	Deployment string `long:"deployment" choice:"clearing" choice:"tender" default:"clearing" description:"which deployment the example runs"`
	Out        string `long:"out" value-name:"DIR" required:"yes" description:"directory to write to; it is created if it does not exist"`
}

// Execute writes the files of the example.
func (c *exampleCommand) Execute([]string) error {
	if c.Out == "" {
		return &UsageError{errors.New("--out is empty; it must name a directory")}
	}
	if err := exampler.Write(c.Deployment, c.Out); err != nil {
		return fmt.Errorf("write the %s example: %w", c.Deployment, err)
	}
	_, err := fmt.Fprintf(c.launcher.out, "the files of the %s example are in %s\n", c.Deployment, c.Out)
	return err
}
