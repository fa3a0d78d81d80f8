import yargs, { type Argv } from "yargs";
import { showAdminPage } from "./AdminCommand.js";
import { defaultConsolePort, exitCodes } from "./CliConstants.js";
import { fail, writeOutput } from "./CommandOutput.js";
import { runConsole } from "./ConsoleCommand.js";
import { diff } from "./DiffCommand.js";
import { explain } from "./ExplainCommand.js";
import { hashKey } from "./HashKeyCommand.js";
import { runRouter } from "./RouterCommand.js";
import { validate } from "./ValidateCommand.js";

/** Runs the command line and sets the exit code of the process. */
export async function runCli(args: readonly string[]): Promise<void> {
    const parser = yargs([...args])
        .scriptName("peridotloft")
        .usage("$0 COMMAND")
        .strict()
        .demandCommand(1, "a command is missing");
    addProcessCommands(parser);
    addDocumentCommands(parser);
    addAdminCommands(parser);
    addLogCommands(parser);
    addHelp(parser);
    try {
        await parser.parseAsync();
    }
    catch (error) {
        writeOutput(fail(exitCodes.failed, [`peridotloft: ${(error as Error).message}`]));
    }
}

function addProcessCommands(parser: Argv): void {
    parser.command(
        "router",
        "run a router process until SIGTERM",
        command => command.option("settings", { type: "string", demandOption: true, describe: "JSON settings file" }),
        ({ settings }) => runRouter(settings),
    );
    parser.command(
        "console",
        "serve the web console for editing the document, on loopback",
        command =>
            command
                .option("port", { type: "number", default: defaultConsolePort, describe: "TCP port" })
                .option("platform", { type: "string", describe: "base URL of the configuration service" }),
        ({ port, platform }) => runConsole(port, platform),
    );
}

function addDocumentCommands(parser: Argv): void {
    parser.command(
        "validate <file>",
        "check a document before it is published: errors, entries without effect, limits that contradict each other",
        command =>
            command
                .positional("file", { type: "string", demandOption: true })
                .option("against", {
                    type: "string",
                    describe:
                        "published document to compare with: a file, or the base URL of the configuration service",
                })
                .option("strict", { type: "boolean", default: false, describe: "exit with 2 on warnings as well" })
                .option("json", { type: "boolean", default: false, describe: "print the findings and changes as JSON" })
                .epilogue(
                    "Exit codes: 0 no errors (with --strict: and no warnings); 1 failed; 2 errors, or wrong arguments; "
                        + "3 the URL did not respond, or not as expected.",
                ),
        async ({ file, against, strict, json }) => writeOutput(await validate({ file, against, strict, json })),
    );
    parser.command(
        "diff <old> <new>",
        "show the changes between two documents and who is affected",
        command =>
            command
                .positional("old", { type: "string", demandOption: true })
                .positional("new", { type: "string", demandOption: true }),
        argv => writeOutput(diff(argv.old, argv.new)),
    );
    parser.command(
        "hash-key",
        "read a key from standard input and print its hash for the document",
        command =>
            command.option("generate", { type: "boolean", default: false, describe: "generate a new key instead" }),
        async ({ generate }) => writeOutput(await hashKey(generate)),
    );
}

function addAdminCommands(parser: Argv): void {
    const pages = [["status", "show the state of a router"], ["audit", "show the audit trail of a router"]] as const;
    pages.forEach(([page, description]) =>
        parser.command(
            `${page} <url>`,
            description,
            command =>
                command
                    .positional("url", { type: "string", demandOption: true, describe: "URL of the admin port" })
                    .option("json", { type: "boolean", describe: "print JSON; the default when not on a terminal" }),
            async ({ url, json }) =>
                writeOutput(await showAdminPage({ url, page, json: json ?? !process.stdout.isTTY })),
        )
    );
}

function addLogCommands(parser: Argv): void {
    parser.command(
        "explain <logs..>",
        "show the path of a request through the logs of gateways, and its likely cause",
        command =>
            command
                .positional("logs", { type: "string", array: true, demandOption: true, describe: "log files" })
                .option("request", { type: "string", demandOption: true, describe: "id of the request" }),
        ({ logs, request }) => writeOutput(explain(logs, request)),
    );
}

function addHelp(parser: Argv): void {
    parser
        .example("$0 router --settings vm-1.json", "run the router of vm-1")
        .example("$0 validate fleet.json", "check a document before it is published")
        .example("$0 validate draft.json --against published.json", "the same, and show what the draft changes")
        .example("$0 diff published.json draft.json", "show what a draft changes")
        .example("$0 status http://127.0.0.1:7201", "show whether the router is ready, and its document version")
        .example("$0 audit http://127.0.0.1:7201 --json", "print the recent changes as JSON")
        .example("$0 explain vm-*.log --request 9c41d07be2a35f68", "find out why a request was refused")
        .example("$0 hash-key --generate", "generate a key and print its hash for the document")
        .epilogue(
            "Exit codes: 0 success; 1 failed; 2 invalid arguments, missing file, invalid JSON, document or settings; "
                + "3 the URL did not respond, or not as expected.",
        )
        .wrap(100)
        .fail((message, error) => {
            if (error) {
                throw error;
            }
            process.stderr.write(`peridotloft: ${message}; see peridotloft --help\n`);
            process.exit(exitCodes.invalid);
        });
}
