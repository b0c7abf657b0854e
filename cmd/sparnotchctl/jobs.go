package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/url"
	"os"

	"github.com/google/subcommands"
)

const keyHelp = "  The tenant's key, if one is required, is read from $SPARNOTCH_KEY.\n"

// submitCommand submits a job from a file.
type submitCommand struct {
	nodeClient
	queue, name string
}

func (*submitCommand) Name() string     { return "submit" }
func (*submitCommand) Synopsis() string { return "submit a job" }
func (*submitCommand) Usage() string {
	return "sparnotchctl submit -queue QUEUE -name NAME JOB.json\n  JOB.json (- for standard input) holds a text and steps as described in\n  docs/interface.md. The request is retried after a timeout; the name ensures that\n  the job is created only once.\n" + keyHelp + exitHelp
}
func (c *submitCommand) SetFlags(set *flag.FlagSet) {
	c.registerForJobs(set)
	set.StringVar(&c.queue, "queue", "", "name of the queue")
	set.StringVar(&c.name, "name", "", "name of the job, unique in the queue")
}
func (c *submitCommand) Execute(_ context.Context, set *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.queue == "" || c.name == "" || set.NArg() != 1 {
		printError("-queue, -name and exactly one file are required")
		return exitUsage
	}
	body, err := readFile(set.Arg(0))
	if err != nil {
		printError("%v", err)
		return exitUsage
	}
	return c.printAnswer("PUT", jobPath(c.queue, c.name), body)
}

// jobPath returns the path of a job in the HTTP interface.
func jobPath(queue, name string) string {
	return "/v1/queues/" + url.PathEscape(queue) + "/jobs/" + url.PathEscape(name)
}

// jobCommand cancels a job if its verb is "cancel", and otherwise shows the job's state.
type jobCommand struct {
	nodeClient
	verb        string // name of the command
	queue, name string
}

func (c *jobCommand) Name() string { return c.verb }
func (c *jobCommand) Synopsis() string {
	if c.verb == "cancel" {
		return "cancel a job"
	}
	return "show a job"
}
func (c *jobCommand) Usage() string {
	return fmt.Sprintf("sparnotchctl %s -queue QUEUE -name NAME\n%s%s", c.verb, keyHelp, exitHelp)
}
func (c *jobCommand) SetFlags(set *flag.FlagSet) {
	c.registerForJobs(set)
	set.StringVar(&c.queue, "queue", "", "name of the queue")
	set.StringVar(&c.name, "name", "", "name of the job")
}
func (c *jobCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if c.queue == "" || c.name == "" {
		printError("-queue and -name are required")
		return exitUsage
	}
	method, path := "GET", jobPath(c.queue, c.name)
	if c.verb == "cancel" {
		method, path = "POST", path+"/cancel"
	}
	return c.printAnswer(method, path, nil)
}

// listJobsCommand lists the jobs of a queue, one page at a time.
type listJobsCommand struct {
	nodeClient
	queue, after string
	limit        int
}

func (*listJobsCommand) Name() string     { return "jobs" }
func (*listJobsCommand) Synopsis() string { return "list a queue's live and retained jobs, by name" }
func (*listJobsCommand) Usage() string {
	return "sparnotchctl jobs -queue QUEUE [-after NAME] [-most 100]\n  To get the next page, set -after to the value of `next` in the response.\n" + keyHelp + exitHelp
}
func (c *listJobsCommand) SetFlags(set *flag.FlagSet) {
	c.registerForJobs(set)
	set.StringVar(&c.queue, "queue", "", "name of the queue")
	set.StringVar(&c.after, "after", "", "list only jobs whose names sort after this name")
	set.IntVar(&c.limit, "most", 100, "maximum number of jobs to list, up to 1000")
}
func (c *listJobsCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if c.queue == "" {
		printError("-queue is required")
		return exitUsage
	}
	return c.printAnswer("GET", fmt.Sprintf("/v1/queues/%s/jobs?most=%d&after=%s", url.PathEscape(c.queue), c.limit, url.QueryEscape(c.after)), nil)
}

// readFile reads the named file, or standard input if the name is "-".
func readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(name)
}
