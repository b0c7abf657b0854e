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

const keyHelp = "  $SPARNOTCH_KEY is the tenant's key, where one is needed.\n"

// submitCommand submits a job.
type submitCommand struct {
	nodeClient
	queue, name string
}

func (*submitCommand) Name() string     { return "submit" }
func (*submitCommand) Synopsis() string { return "submit a job" }
func (*submitCommand) Usage() string {
	return "sparnotchctl submit -queue QUEUE -name NAME JOB.json\n  JOB.json, - for standard input, is a text and steps, as docs/interface.md says.\n  It is retried after a timeout: the name keeps it one job.\n" + keyHelp + exitHelp
}
func (c *submitCommand) SetFlags(set *flag.FlagSet) {
	c.registerForJobs(set)
	set.StringVar(&c.queue, "queue", "", "the queue")
	set.StringVar(&c.name, "name", "", "the job's name, unique in the queue")
}
func (c *submitCommand) Execute(_ context.Context, set *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.queue == "" || c.name == "" || set.NArg() != 1 {
		printError("queue, name and one file are needed")
		return exitUsage
	}
	body, err := readFile(set.Arg(0))
	if err != nil {
		printError("%v", err)
		return exitUsage
	}
	return c.printAnswer("PUT", jobPath(c.queue, c.name), body)
}

// jobPath is the path of a job in the interface.
func jobPath(queue, name string) string {
	return "/v1/queues/" + url.PathEscape(queue) + "/jobs/" + url.PathEscape(name)
}

// jobCommand shows or cancels one job, as its verb says.
type jobCommand struct {
	nodeClient
	verb        string
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
	set.StringVar(&c.queue, "queue", "", "the queue")
	set.StringVar(&c.name, "name", "", "the job's name")
}
func (c *jobCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if c.queue == "" || c.name == "" {
		printError("queue and name are needed")
		return exitUsage
	}
	method, path := "GET", jobPath(c.queue, c.name)
	if c.verb == "cancel" {
		method, path = "POST", path+"/cancel"
	}
	return c.printAnswer(method, path, nil)
}

// listJobsCommand lists a queue's jobs.
type listJobsCommand struct {
	nodeClient
	queue, after string
	limit        int
}

func (*listJobsCommand) Name() string     { return "jobs" }
func (*listJobsCommand) Synopsis() string { return "list a queue's live and retained jobs, by name" }
func (*listJobsCommand) Usage() string {
	return "sparnotchctl jobs -queue QUEUE [-after NAME] [-most 100]\n  `next` in the answer is the -after of the next page.\n" + keyHelp + exitHelp
}
func (c *listJobsCommand) SetFlags(set *flag.FlagSet) {
	c.registerForJobs(set)
	set.StringVar(&c.queue, "queue", "", "the queue")
	set.StringVar(&c.after, "after", "", "only names after this one")
	set.IntVar(&c.limit, "most", 100, "at most so many, up to 1000")
}
func (c *listJobsCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if c.queue == "" {
		printError("queue is needed")
		return exitUsage
	}
	return c.printAnswer("GET", fmt.Sprintf("/v1/queues/%s/jobs?most=%d&after=%s", url.PathEscape(c.queue), c.limit, url.QueryEscape(c.after)), nil)
}

// readFile reads a file, or standard input for "-".
func readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(name)
}
